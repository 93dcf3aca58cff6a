//! Benchmarks of real processes on one machine, with the bounds that the users require.
//!
//! `bench control` measures the control cost of a daemon by fleet size, `bench recovery` how long keys
//! are unserved after an owner is killed, `bench latency` the latency that the daemon adds, and `bench
//! measures` the five required measures for both firms. Each prints its figures and exits with status 1
//! if a bound is missed.

#![expect(clippy::print_stdout, reason = "the program prints its figures")]

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
    /// Benchmark to run.
    #[options(command)]
    command: Option<Command>,
}

/// Benchmarks.
#[derive(Debug, Options)]
enum Command {
    /// Control cost of a daemon by fleet size.
    #[options(help = "control cost of a daemon by fleet size")]
    Control(ControlOptions),
    /// Time that keys are unserved after an owner is killed.
    #[options(help = "time that keys are unserved after an owner is killed")]
    Recovery(RecoveryOptions),
    /// Latency and throughput with and without a daemon.
    #[options(help = "latency and throughput with and without a daemon")]
    Latency(LatencyOptions),
    /// The five required measures.
    #[options(help = "the five required measures for both firms, compared with simple baselines")]
    Measures(MeasuresOptions),
}

/// Error of a benchmark: a failed measurement or a missed bound.
type BenchError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let command_line = CommandLine::parse_args_default_or_exit();
    let outcome = match command_line.command {
        Some(Command::Control(options)) => control::measure(&options),
        Some(Command::Recovery(options)) => recovery::measure(&options),
        Some(Command::Latency(options)) => latency::measure(&options),
        Some(Command::Measures(options)) => measures::measure(&options),
        None => Err("specify a benchmark: control, recovery, latency or measures".into()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}
