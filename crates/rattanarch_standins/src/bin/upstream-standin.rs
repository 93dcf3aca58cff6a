//! Runs the upstream emulator.

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
    #[options(help = "address to listen on; port 0 selects a free port", default = "127.0.0.1:0")]
    listen: String,
    #[options(help = "service of the upstream", default = "trade-desk")]
    service: String,
    #[options(help = "instance name in its responses", default = "upstream")]
    instance: String,
    #[options(help = "maximum number of concurrent requests when warm", default = "20")]
    slots: u16,
    #[options(help = "run requests without checking fences")]
    ignore_fences: bool,
    #[options(help = "start cold")]
    cold: bool,
    #[options(help = "execution time of a request, in microseconds", default = "2000")]
    work_us: u64,
    #[options(help = "offset of its clock ahead of the machine's clock, in milliseconds")]
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
