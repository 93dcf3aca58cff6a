//! Process of a server that is measured.

use std::env;
use std::error::Error;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// Process of a server that is measured; killed when dropped.
pub struct ServerProcess {
    child: Child,
    /// Address on which the server listens.
    pub address: SocketAddr,
}

/// Threads and memory of a process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Current number of threads.
    pub threads: u64,
    /// Current resident memory, in KiB.
    pub resident: u64,
    /// Peak resident memory, in KiB.
    pub peak: u64,
}

impl ServerProcess {
    /// Starts a server that uses `library`.
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

    /// Reads the current usage.
    pub fn usage(&self) -> Result<Usage, Box<dyn Error>> {
        usage_of(&self.child.id().to_string())
    }
}

/// Reads the usage of a process, given by its id or `self`.
pub fn usage_of(process: &str) -> Result<Usage, Box<dyn Error>> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or_default()
    };
    Ok(Usage { threads: field("Threads:"), resident: field("VmRSS:"), peak: field("VmHWM:") })
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
