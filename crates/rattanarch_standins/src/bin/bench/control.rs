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

/// Most of a core that control may take, in percent: the users' letter.
const MAX_CORE_PERCENT: f64 = 1.6;
/// Most memory, in MB: the users' letter.
const MAX_MEMORY_MB: f64 = 128.0;
/// Most bytes a second, sent and received together: the users' letter.
const MAX_BYTES_PER_SECOND: f64 = 3_000.0;

/// Time without a change after which a record counts as settled.
const QUIET: Duration = Duration::from_secs(5);
/// Longest time until then.
const QUIET_LIMIT: Duration = Duration::from_secs(120);

/// Options of `bench control`.
#[derive(Debug, Options)]
pub(crate) struct ControlOptions {
    /// Prints the options.
    #[options(help = "print this help")]
    help: bool,
    /// Fleet sizes.
    #[options(help = "fleet size; repeat for more (default 4, 8, 16, 32)", meta = "N")]
    sizes: Vec<usize>,
    /// Length of each measurement.
    #[options(help = "seconds to measure each size", meta = "SECONDS", default = "10")]
    seconds: u64,
    /// Configuration changes a second during the measurement.
    #[options(help = "configuration changes a second", meta = "RATE", default = "0")]
    changes: f64,
}

/// The part of a daemon's status that is read.
#[derive(Debug, Deserialize)]
struct Status {
    counters: BTreeMap<String, u64>,
}

/// What a fleet had used by one moment, over all daemons.
struct Reading {
    counters: BTreeMap<String, u64>,
    processor: Duration,
    resident: u64,
    threads: u64,
    platform: PlatformCounts,
}

/// Prints a row for each size; an error if a bound is missed.
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
    wait_quiet(&fleet)?;
    let before = read(&mut fleet)?;
    let span = Duration::from_secs(options.seconds.max(1));
    run_changes(&fleet, span, options.changes)?;
    let after = read(&mut fleet)?;
    Ok(report(size, span, &before, &after))
}

/// Waits until the record has not changed for a while.
fn wait_quiet(fleet: &Fleet) -> Result<(), BenchError> {
    let start = Instant::now();
    let mut version = fleet.record("trade-desk")?.version;
    loop {
        thread::sleep(QUIET);
        let newest = fleet.record("trade-desk")?.version;
        if newest == version {
            return Ok(());
        }
        if start.elapsed() > QUIET_LIMIT {
            return Err(format!("record still changes after {QUIET_LIMIT:?}").into());
        }
        version = newest;
    }
}

/// Lets the time pass, and changes another service's part of the configuration at `rate`.
fn run_changes(fleet: &Fleet, span: Duration, rate: f64) -> Result<(), BenchError> {
    if rate <= 0.0 {
        thread::sleep(span);
        return Ok(());
    }
    let count = (span.as_secs_f64() * rate).round().max(1.0) as u32;
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
        thread::sleep(span / count);
    }
    Ok(())
}

fn read(fleet: &mut Fleet) -> Result<Reading, BenchError> {
    let mut reading = Reading {
        counters: BTreeMap::new(),
        processor: Duration::ZERO,
        resident: 0,
        threads: 0,
        platform: fleet.platform_counts()?,
    };
    for slot in &mut fleet.slots {
        let status: Status = slot.read_operator("/status")?;
        for (name, value) in status.counters {
            *reading.counters.entry(name).or_insert(0) += value;
        }
        let pid = slot.daemon().ok_or("a daemon is missing")?.pid();
        let usage = Usage::read(pid)?;
        reading.processor += usage.processor;
        reading.resident += usage.resident;
        reading.threads += usage.threads;
    }
    Ok(reading)
}

/// Prints the row; the bounds that it misses.
fn report(size: usize, span: Duration, before: &Reading, after: &Reading) -> Vec<String> {
    let daemons = size as f64;
    let seconds = span.as_secs_f64();
    let rate = |name: &str| {
        let read = |reading: &Reading| reading.counters.get(name).copied().unwrap_or_default();
        (read(after) - read(before)) as f64 / seconds / daemons
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
