//! Measures whether `rouille` and `ureq` carry what a daemon needs of HTTP, against `hyper`.
//!
//! Run it with `cargo run --release -p rattanarch_standins --example http_libraries`. Each server
//! runs as a process of its own, so that its threads and memory are its own. Figures and their
//! meaning stand in `docs/HTTP-LIBRARIES.md`.

mod client;
mod probe;
mod server;
mod subject;

use std::env;
use std::error::Error;
use std::io;
use std::io::Write;

use crate::subject::Subject;

/// Servers that are compared.
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
        for (name, probe) in probe::ALL {
            // A fresh process for each, so that none inherits another's threads or memory.
            let subject = Subject::start(library)?;
            writeln!(output, "  {name}: {}", probe(&subject)?)?;
        }
    }
    for (name, probe) in client::ALL {
        let subject = Subject::start("hyper")?;
        writeln!(output, "client {name}: {}", probe(&subject)?)?;
    }
    Ok(())
}
