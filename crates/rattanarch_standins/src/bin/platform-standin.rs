//! Runs the platform emulator.

use std::io;
use std::net::SocketAddr;

use gumdrop::Options;
use rattanarch_standins::PlatformStandin;
use rattanarch_standins::run_server;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on; port 0 selects a free port", default = "127.0.0.1:0")]
    listen: String,
    #[options(help = "bearer token that calls must carry; by default all calls are accepted")]
    token: Option<String>,
}

fn main() -> io::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    let listen: SocketAddr = flags.listen.parse().map_err(io::Error::other)?;
    run_server(listen, PlatformStandin::new(flags.token.as_deref()))
}
