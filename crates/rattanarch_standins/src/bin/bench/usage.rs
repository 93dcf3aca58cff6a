//! What a process has used, by the kernel's own count.

use std::fs;
use std::time::Duration;

use crate::BenchError;

/// Field of `/proc/PID/stat` after the command's name that holds the user time, in clock ticks;
/// the system time follows it.
const USER_TIME_FIELD: usize = 11;

/// What a process has used since its start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Processor time of all its threads.
    pub(crate) processor: Duration,
    /// Resident memory, in bytes.
    pub(crate) resident: u64,
    /// Threads.
    pub(crate) threads: u64,
}

impl Usage {
    /// Reads the usage of the process `pid`.
    pub(crate) fn read(pid: u32) -> Result<Self, BenchError> {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        Ok(Self {
            processor: processor(pid)?,
            resident: field(&status, "VmRSS:")? * 1024,
            threads: field(&status, "Threads:")?,
        })
    }
}

fn processor(pid: u32) -> Result<Duration, BenchError> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').ok_or("stat has no command")?;
    let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: u64 = times.map(|time| time.parse::<u64>().unwrap_or_default()).sum();
    let per_second = rustix::param::clock_ticks_per_second();
    Ok(Duration::from_secs_f64(ticks as f64 / per_second as f64))
}

fn field(status: &str, name: &str) -> Result<u64, BenchError> {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let text = line.and_then(|line| line.split_whitespace().next());
    Ok(text.ok_or_else(|| format!("status has no field {name:?}"))?.parse()?)
}
