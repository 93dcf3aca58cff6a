//! A small version of both deployments on one machine, from start to stop; see `scripts/quickstart`.

mod operator;
mod requests;
mod story;

use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::flag;

use crate::story::Story;

fn main() -> ExitCode {
    match tell() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Ends between two chapters when interrupted: leaving stops all processes.
fn tell() -> Result<(), Box<dyn std::error::Error>> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        flag::register(signal, Arc::clone(&interrupted))?;
    }
    let mut story = Story::start(io::stdout())?;
    for chapter in [Story::answer, Story::load, Story::ask, Story::drain, Story::judge, Story::stop]
    {
        if interrupted.load(Ordering::Relaxed) {
            return Err("interrupted".into());
        }
        chapter(&mut story)?;
    }
    Ok(())
}
