//! Generates load on daemons and prints a report.

use std::error::Error;
use std::io;
use std::io::Write;
use std::time::Duration;

use gumdrop::Options;
use rattanarch_standins::LoadSettings;
use rattanarch_standins::Targets;
use rattanarch_standins::run_load;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "[SERVICE=]ADDRESS:PORT[,ADDRESS:PORT…], caller addresses of the daemons; repeat the flag for more services",
        required
    )]
    targets: Vec<String>,
    #[options(help = "co-op or aguas-libres", default = "co-op")]
    firm: String,
    #[options(help = "average rate of requests, in requests per second", default = "200")]
    rate: f64,
    #[options(help = "duration of the load, in seconds", default = "10")]
    seconds: f64,
    #[options(help = "seed of all random choices", default = "1")]
    seed: u64,
    #[options(help = "timeout of one attempt, in milliseconds", default = "5000")]
    timeout_ms: u64,
    #[options(help = "print the report as JSON")]
    json: bool,
}

impl Flags {
    fn settings(&self) -> Result<LoadSettings, Box<dyn Error>> {
        let mut targets = Targets::default();
        for text in &self.targets {
            targets.add(text)?;
        }
        let duration = Duration::try_from_secs_f64(self.seconds)?;
        Ok(LoadSettings::default()
            .with_targets(targets)
            .with_firm(self.firm.parse()?)
            .with_rate(self.rate)
            .with_duration(duration)
            .with_seed(self.seed)
            .with_timeout(Duration::from_millis(self.timeout_ms)))
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let flags = Flags::parse_args_default_or_exit();
    let settings = flags.settings()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(run_load(settings));
    if flags.json {
        writeln!(io::stdout(), "{}", serde_json::to_string(&report)?)?;
    } else {
        write!(io::stdout(), "{report}")?;
    }
    if report.wrong > 0 {
        return Err("some responses were wrong".into());
    }
    Ok(())
}
