//! Resource usage of a process, as the kernel reports it in `/proc`.

use std::fs;
use std::time::Duration;

use crate::BenchError;

/// Index of the user time, in clock ticks, among the fields of `/proc/PID/stat` after the command name.
/// The next field is the system time.
const USER_TIME_FIELD: usize = 11;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Processor time of all threads since the start of the process.
    pub(crate) processor: Duration,
    /// Resident memory, in bytes.
    pub(crate) resident: u64,
    /// Number of threads.
    pub(crate) threads: u64,
}

impl Usage {
    /// Reads the usage of the process `pid`.
    pub(crate) fn read(pid: u32) -> Result<Self, BenchError> {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        Ok(Self {
            processor: processor_time(pid)?,
            resident: field(&status, "VmRSS:")? * 1024,
            threads: field(&status, "Threads:")?,
        })
    }
}

fn processor_time(pid: u32) -> Result<Duration, BenchError> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').ok_or("stat has no command name")?;
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
