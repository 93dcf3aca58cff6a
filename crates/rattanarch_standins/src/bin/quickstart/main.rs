//! Runs a small version of both deployments on one machine and shows its features; see
//! `scripts/quickstart`.

mod operator;
mod requests;
mod walkthrough;

use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::flag;

use crate::walkthrough::Walkthrough;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all steps. Returns after the current step when interrupted; the drop of the fleet stops all
/// processes.
fn run() -> Result<(), Box<dyn std::error::Error>> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        flag::register(signal, Arc::clone(&interrupted))?;
    }
    let mut walkthrough = Walkthrough::start(io::stdout())?;
    for step in [
        Walkthrough::send_requests,
        Walkthrough::run_load,
        Walkthrough::query,
        Walkthrough::drain,
        Walkthrough::check_journals,
        Walkthrough::stop,
    ] {
        if interrupted.load(Ordering::Relaxed) {
            return Err("interrupted".into());
        }
        step(&mut walkthrough)?;
    }
    Ok(())
}
