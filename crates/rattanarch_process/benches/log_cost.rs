//! Cost of log lines per request, at the usual load of a daemon and at ten times that load.
//!
//! `cargo bench -p rattanarch_process --bench log_cost` prints one row per load. The output accepts all lines,
//! except in the last row, where it blocks.
#![allow(clippy::print_stdout, reason = "prints its results")]

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rattanarch_process::LogOptions;
use rattanarch_process::PREAPPROVED_TARGET;
use rattanarch_process::dropped_lines;
use rattanarch_process::may_log;
use rattanarch_process::start_logs;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Usual load of one machine: 60 million requests a second on 5,100 machines.
const REQUESTS_PER_SECOND: u32 = 11_765;

/// One in this many successful requests is logged; the default of `log.sample`.
const SAMPLE_INTERVAL: u32 = 64;

/// Duration of each load.
const LOAD_DURATION: Duration = Duration::from_secs(3);

/// Interval at which due requests are run.
const TICK: Duration = Duration::from_millis(10);

/// An output that counts lines and can be made to block.
struct Output {
    lines: Arc<AtomicU64>,
    blocked: Arc<AtomicBool>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        while self.blocked.load(Ordering::Relaxed) {
            thread::sleep(TICK);
        }
        let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
        self.lines.fetch_add(lines as u64, Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Requests to offer.
#[derive(Clone, Copy)]
struct Load {
    name: &'static str,
    /// Requests a second.
    rate: u32,
    refused_percent: u32,
    /// Whether lines are logged.
    logged: bool,
}

fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Logs the end of one request as the daemon does; returns how long that took.
fn end_request(number: u32, load: Load) -> Duration {
    let began = Instant::now();
    let id = format!("{number:016x}");
    if !load.logged {
        std::hint::black_box(id);
        return began.elapsed();
    }
    if number % 100 < load.refused_percent {
        if may_log(("request not served", false), log::Level::Warn, STEPS + 1) {
            write_steps(&id, number);
            log::warn!(target: PREAPPROVED_TARGET, id:% = id, side = "caller", route = "stock",
                service = "trade-desk", outcome = "refused", detail = "overloaded", took_ms = 3;
                "request not served");
        }
    } else if number.is_multiple_of(SAMPLE_INTERVAL)
        && may_log(("request served", false), log::Level::Info, STEPS + 1)
    {
        write_steps(&id, number);
        log::info!(target: PREAPPROVED_TARGET, id:% = id, side = "caller", route = "stock",
            service = "trade-desk", outcome = "answered", detail = "200", took_ms = 3;
            "request served");
    }
    began.elapsed()
}

/// Lines about decisions that are logged for each request.
const STEPS: u64 = 3;

fn write_steps(id: &str, record: u32) {
    for step in 0..STEPS {
        log::warn!(target: PREAPPROVED_TARGET, id, side = "caller", at_ms = step, decision = "sent",
            detail:% = format_args!("trade-desk 10.1.0.9:8221 by record {record}, try {step}");
            "request decision");
    }
}

/// Offers `load`; returns the number of requests, the CPU time and the longest time of one request.
fn offer(load: Load) -> (u32, Duration, Duration) {
    let (start, before) = (Instant::now(), cpu_time());
    let (mut sent, mut longest) = (0, Duration::ZERO);
    while start.elapsed() < LOAD_DURATION {
        let due = (start.elapsed().as_secs_f64() * f64::from(load.rate)) as u32;
        while sent < due {
            longest = longest.max(end_request(sent, load));
            sent += 1;
        }
        thread::sleep(TICK);
    }
    (sent, cpu_time() - before, longest)
}

fn main() {
    let (lines, blocked) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let out = Box::new(Output { lines: Arc::clone(&lines), blocked: Arc::clone(&blocked) });
    let common = vec![("instance", "slot-1".to_owned())];
    start_logs(LogOptions { level: log::LevelFilter::Info, common, out }).expect("logs");
    println!(
        "{:<34} {:>10} {:>12} {:>12} {:>8} {:>9}",
        "load", "requests", "ns a request", "longest us", "written", "dropped"
    );
    let load = |name, rate, refused_percent, logged| Load { name, rate, refused_percent, logged };
    let loads = [
        load("usual, no lines", REQUESTS_PER_SECOND, 2, false),
        load("usual, 2 in 100 refused", REQUESTS_PER_SECOND, 2, true),
        load("ten times, no lines", 10 * REQUESTS_PER_SECOND, 2, false),
        load("ten times, 90 in 100 refused", 10 * REQUESTS_PER_SECOND, 90, true),
        load("the same, the reader is stuck", 10 * REQUESTS_PER_SECOND, 90, true),
    ];
    for (index, load) in loads.into_iter().enumerate() {
        blocked.store(index + 1 == loads.len(), Ordering::Relaxed);
        let (written, dropped) = (lines.load(Ordering::Relaxed), dropped_lines());
        let (sent, used, longest) = offer(load);
        println!(
            "{:<34} {:>10} {:>12} {:>12} {:>8} {:>9}",
            load.name,
            sent,
            used.as_nanos() / u128::from(sent.max(1)),
            longest.as_micros(),
            lines.load(Ordering::Relaxed) - written,
            dropped_lines() - dropped
        );
    }
    blocked.store(false, Ordering::Relaxed);
}
