//! Compares the HTTP libraries `rouille` and `ureq` with `hyper` for the needs of a daemon.
//!
//! Run it with `cargo run --release -p rattanarch_standins --example http_libraries`. Each server
//! runs in a separate process, so that its threads and memory can be measured. `docs/HTTP-LIBRARIES.md`
//! contains the results and their interpretation.

mod client_measurements;
mod server;
mod server_measurements;
mod server_process;

use std::env;
use std::error::Error;
use std::io;
use std::io::Write;

use crate::server_process::ServerProcess;

/// Server libraries that are compared.
const LIBRARIES: [&str; 2] = ["rouille", "hyper"];

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["serve", "rouille"] => server::serve_rouille(),
        ["serve", "hyper"] => server::serve_hyper(),
        _ => compare(),
    }
}

fn compare() -> Result<(), Box<dyn Error>> {
    let mut output = io::stdout();
    for library in LIBRARIES {
        writeln!(output, "server {library}")?;
        for (name, measure) in server_measurements::ALL {
            // Starts a new process for each measurement, so that threads and memory of another one do
            // not count.
            let server = ServerProcess::start(library)?;
            writeln!(output, "  {name}: {}", measure(&server)?)?;
        }
    }
    for (name, measure) in client_measurements::ALL {
        let server = ServerProcess::start("hyper")?;
        writeln!(output, "client {name}: {}", measure(&server)?)?;
    }
    Ok(())
}
