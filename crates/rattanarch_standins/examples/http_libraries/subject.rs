//! A server under measurement, in a process of its own.

use std::env;
use std::error::Error;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// A server under measurement; killed when dropped.
pub struct Subject {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Threads and memory of a process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Threads now.
    pub threads: u64,
    /// Resident memory now, in KiB.
    pub resident: u64,
    /// Greatest resident memory so far, in KiB.
    pub peak: u64,
}

impl Subject {
    /// Starts a server of the library.
    pub fn start(library: &str) -> Result<Self, Box<dyn Error>> {
        let mut command = Command::new(env::current_exe()?);
        let mut child = command.args(["serve", library]).stdout(Stdio::piped()).spawn()?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            BufReader::new(output).read_line(&mut line)?;
        }
        let address = line.trim().parse()?;
        Ok(Self { child, address })
    }

    /// Threads and memory now.
    pub fn usage(&self) -> Result<Usage, Box<dyn Error>> {
        usage_of(&self.child.id().to_string())
    }
}

/// Threads and memory of the process with this id, or `self`.
pub fn usage_of(process: &str) -> Result<Usage, Box<dyn Error>> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or_default()
    };
    Ok(Usage { threads: field("Threads:"), resident: field("VmRSS:"), peak: field("VmHWM:") })
}

impl Drop for Subject {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
