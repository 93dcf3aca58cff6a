//! Control cost of a daemon by fleet size.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use gumdrop::Options;
use rattanarch_standins::Fleet;
use rattanarch_standins::PlatformCounts;
use rattanarch_standins::ServicePlan;
use serde::Deserialize;

use crate::BenchError;
use crate::usage::Usage;

/// Maximum processor time for the control work of a daemon, in percent of a core; required by the users.
const MAX_CORE_PERCENT: f64 = 1.6;
/// Maximum resident memory of a daemon, in MB; required by the users.
const MAX_MEMORY_MB: f64 = 128.0;
/// Maximum number of bytes per second that a daemon sends and receives; required by the users.
const MAX_BYTES_PER_SECOND: f64 = 3_000.0;

/// Time without a change after which a record counts as stable.
const QUIET_TIME: Duration = Duration::from_secs(5);
/// Maximum wait for a stable record.
const QUIET_TIMEOUT: Duration = Duration::from_secs(120);

/// Options of `bench control`.
#[derive(Debug, Options)]
pub(crate) struct ControlOptions {
    /// Prints the options.
    #[options(help = "print this help")]
    help: bool,
    /// Fleet sizes.
    #[options(help = "fleet size; repeat for more (default 4, 8, 16, 32)", meta = "N")]
    sizes: Vec<usize>,
    /// Duration of each measurement, in seconds.
    #[options(help = "seconds to measure each size", meta = "SECONDS", default = "10")]
    seconds: u64,
    /// Configuration changes per second during the measurement.
    #[options(help = "configuration changes per second", meta = "RATE", default = "0")]
    changes: f64,
}

/// Counters in the status of a daemon.
#[derive(Debug, Deserialize)]
struct Status {
    counters: BTreeMap<String, u64>,
}

/// Resource usage and counters of all daemons of a fleet at one time.
struct Snapshot {
    counters: BTreeMap<String, u64>,
    processor: Duration,
    resident: u64,
    threads: u64,
    platform: PlatformCounts,
}

/// Prints a row for each size. Returns an error if a bound is missed.
pub(crate) fn measure(options: &ControlOptions) -> Result<(), BenchError> {
    let sizes = match options.sizes.as_slice() {
        [] => &[4, 8, 16, 32],
        sizes => sizes,
    };
    println!(
        "daemons  core %  memory MB  threads  peer B/s  packets/s  grants/s  platform calls/s"
    );
    let mut missed = Vec::new();
    for &size in sizes {
        missed.extend(measure_size(size, options)?);
    }
    if missed.is_empty() { Ok(()) } else { Err(missed.join("; ").into()) }
}

fn measure_size(size: usize, options: &ControlOptions) -> Result<Vec<String>, BenchError> {
    let mut fleet = Fleet::start(&[ServicePlan::trade_desk(size)])?;
    fleet.wait_balanced("trade-desk", Duration::from_secs(60))?;
    wait_stable(&fleet)?;
    let before = take_snapshot(&mut fleet)?;
    let duration = Duration::from_secs(options.seconds.max(1));
    run_changes(&fleet, duration, options.changes)?;
    let after = take_snapshot(&mut fleet)?;
    Ok(report(size, duration, &before, &after))
}

/// Waits until the record has not changed for [`QUIET_TIME`].
fn wait_stable(fleet: &Fleet) -> Result<(), BenchError> {
    let start = Instant::now();
    let mut version = fleet.record("trade-desk")?.version;
    loop {
        thread::sleep(QUIET_TIME);
        let newest = fleet.record("trade-desk")?.version;
        if newest == version {
            return Ok(());
        }
        if start.elapsed() > QUIET_TIMEOUT {
            return Err(format!("record still changes after {QUIET_TIMEOUT:?}").into());
        }
        version = newest;
    }
}

/// Changes the configuration of another service at `rate`, in changes per second, for `duration`.
fn run_changes(fleet: &Fleet, duration: Duration, rate: f64) -> Result<(), BenchError> {
    if rate <= 0.0 {
        thread::sleep(duration);
        return Ok(());
    }
    let count = (duration.as_secs_f64() * rate).round().max(1.0) as u32;
    let platform = fleet.platform();
    let path = "configuration/co-op";
    for change in 0..count {
        let object = platform.get(path)?;
        let mut value = object.value;
        value["version"] = (object.version + 1).into();
        value["services"]["pound-files"] = serde_json::json!({
            "sharing": "unkeyed", "routes": [], "out": [format!("slot-{change}")], "lost": [],
        });
        platform.put(path, object.version, &value)?;
        thread::sleep(duration / count);
    }
    Ok(())
}

fn take_snapshot(fleet: &mut Fleet) -> Result<Snapshot, BenchError> {
    let mut snapshot = Snapshot {
        counters: BTreeMap::new(),
        processor: Duration::ZERO,
        resident: 0,
        threads: 0,
        platform: fleet.platform_counts()?,
    };
    for slot in &mut fleet.slots {
        let status: Status = slot.read_operator("/status")?;
        for (name, value) in status.counters {
            *snapshot.counters.entry(name).or_insert(0) += value;
        }
        let pid = slot.daemon().ok_or("a daemon is missing")?.pid();
        let usage = Usage::read(pid)?;
        snapshot.processor += usage.processor;
        snapshot.resident += usage.resident;
        snapshot.threads += usage.threads;
    }
    Ok(snapshot)
}

/// Prints the row of a fleet size. Returns the missed bounds.
fn report(size: usize, duration: Duration, before: &Snapshot, after: &Snapshot) -> Vec<String> {
    let daemons = size as f64;
    let seconds = duration.as_secs_f64();
    let rate = |name: &str| {
        let count = |snapshot: &Snapshot| snapshot.counters.get(name).copied().unwrap_or_default();
        (count(after) - count(before)) as f64 / seconds / daemons
    };
    let processor = (after.processor - before.processor).as_secs_f64();
    let core = 100.0 * processor / seconds / daemons;
    let memory = after.resident as f64 / daemons / 1e6;
    let threads = after.threads as f64 / daemons;
    let bytes = rate("peer.bytes_sent") + rate("peer.bytes_received") + rate("peer.bulk_bytes");
    let packets = rate("peer.packets_sent") + rate("peer.packets_taken");
    let calls = |counts: &PlatformCounts| counts.reads + counts.writes + counts.watches;
    let calls = (calls(&after.platform) - calls(&before.platform)) as f64 / seconds;
    println!(
        "{size:7}  {core:6.2}  {memory:9.1}  {threads:7.0}  {bytes:8.0}  {packets:9.1}  {:8.1}  \
         {calls:16.2}",
        rate("upstream.grants"),
    );
    let bounds = [
        ("core %", core, MAX_CORE_PERCENT),
        ("memory MB", memory, MAX_MEMORY_MB),
        ("peer B/s", bytes, MAX_BYTES_PER_SECOND),
    ];
    let missed = bounds.into_iter().filter(|(_, figure, bound)| figure > bound);
    let missed = missed.map(|(name, figure, bound)| {
        format!("{name} is {figure:.2} at {size} daemons; allowed: {bound}")
    });
    missed.collect()
}
