//! Measurements of real processes on one machine, with the bounds that the targets set.
//!
//! `bench control` gives each daemon's control cost by fleet size, `bench recovery` how long keys
//! are unserved after an owner is killed, `bench latency` what the daemon adds to a request, `bench
//! measures` the brief's five measures for both firms. Each prints its figures and exits with
//! status 1 if a bound from the users' letter is missed.

#![expect(clippy::print_stdout, reason = "the figures are this program's output")]

mod control;
mod latency;
mod measures;
mod recovery;
mod usage;

use std::process::ExitCode;

use gumdrop::Options;

use crate::control::ControlOptions;
use crate::latency::LatencyOptions;
use crate::measures::MeasuresOptions;
use crate::recovery::RecoveryOptions;

/// Command line.
#[derive(Debug, Options)]
struct CommandLine {
    /// Prints the options.
    #[options(help = "print this help")]
    help: bool,
    /// What to measure.
    #[options(command)]
    command: Option<Command>,
}

/// What to measure.
#[derive(Debug, Options)]
enum Command {
    /// Control cost of a daemon.
    #[options(help = "control cost of a daemon by fleet size")]
    Control(ControlOptions),
    /// Time unserved after a kill.
    #[options(help = "time that keys are unserved after an owner is killed")]
    Recovery(RecoveryOptions),
    /// Latency added by the daemon.
    #[options(help = "latency and throughput of a daemon beside its upstream's own")]
    Latency(LatencyOptions),
    /// The brief's measures.
    #[options(help = "the brief's five measures for both firms, beside plain baselines")]
    Measures(MeasuresOptions),
}

/// A failed measurement, or a bound that was missed.
type BenchError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let line = CommandLine::parse_args_default_or_exit();
    let outcome = match line.command {
        Some(Command::Control(options)) => control::measure(&options),
        Some(Command::Recovery(options)) => recovery::measure(&options),
        Some(Command::Latency(options)) => latency::measure(&options),
        Some(Command::Measures(options)) => measures::measure(&options),
        None => Err("name what to measure: control, recovery, latency or measures".into()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}
