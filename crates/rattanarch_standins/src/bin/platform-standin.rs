//! Stand-in for the platform, as a process.

use std::io;
use std::net::SocketAddr;

use gumdrop::Options;
use rattanarch_standins::PlatformStandin;
use rattanarch_standins::run_server;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on; port 0 takes a free one", default = "127.0.0.1:0")]
    listen: String,
    #[options(help = "bearer token that calls must carry; without it any call is taken")]
    token: Option<String>,
}

fn main() -> io::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    let listen: SocketAddr = flags.listen.parse().map_err(io::Error::other)?;
    run_server(listen, PlatformStandin::new(flags.token.as_deref()))
}
