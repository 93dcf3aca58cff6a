//! Runs a load beside the blocking code of a test.

use std::io;
use std::thread;
use std::thread::JoinHandle;

use crate::load::LoadReport;
use crate::load::LoadSettings;
use crate::load::run_load;

/// Load that runs on its own threads in the background of a test.
#[derive(Debug)]
pub struct BackgroundLoad {
    thread: JoinHandle<io::Result<LoadReport>>,
}

impl BackgroundLoad {
    /// Starts the load.
    pub fn start(settings: LoadSettings) -> Self {
        Self { thread: thread::spawn(move || run_blocking(settings)) }
    }

    /// Waits until every request has ended and returns the report.
    ///
    /// # Errors
    /// If the runtime of the load could not be started, or its thread panicked.
    pub fn finish(self) -> io::Result<LoadReport> {
        self.thread.join().unwrap_or_else(|_| Err(io::Error::other("the load thread panicked")))
    }
}

fn run_blocking(settings: LoadSettings) -> io::Result<LoadReport> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    Ok(runtime.block_on(run_load(settings)))
}
