//! Stand-in for an upstream, as a process.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use rattanarch_standins::UpstreamSettings;
use rattanarch_standins::UpstreamStandin;
use rattanarch_standins::run_server;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on; port 0 takes a free one", default = "127.0.0.1:0")]
    listen: String,
    #[options(help = "service that it announces", default = "trade-desk")]
    service: String,
    #[options(help = "name that its answers carry", default = "upstream")]
    instance: String,
    #[options(help = "concurrent requests that it bears when warm", default = "20")]
    slots: u16,
    #[options(help = "run work without checking fences")]
    ignore_fences: bool,
    #[options(help = "start cold")]
    cold: bool,
    #[options(help = "time of one request, in microseconds", default = "2000")]
    work_us: u64,
    #[options(help = "how far its clock is ahead of the machine's, in milliseconds")]
    clock_offset: u64,
}

impl From<Flags> for UpstreamSettings {
    fn from(flags: Flags) -> Self {
        Self {
            service: flags.service,
            instance: flags.instance,
            slots: flags.slots.max(1),
            checks_fence: !flags.ignore_fences,
            cold: flags.cold,
            work_time: Duration::from_micros(flags.work_us),
            clock_offset: flags.clock_offset,
        }
    }
}

fn main() -> io::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    let listen: SocketAddr = flags.listen.parse().map_err(io::Error::other)?;
    run_server(listen, UpstreamStandin::new(flags.into()))
}
