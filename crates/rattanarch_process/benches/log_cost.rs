//! What log lines cost a request, at the usual load of a daemon and at ten times that.
//!
//! `cargo bench -p rattanarch_process --bench log_cost` prints one row a load. Lines go to a reader that
//! takes everything, the last row's to one that takes nothing.
#![allow(clippy::print_stdout, reason = "its output")]

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

/// Requests a second of the usual load: 60 million on 5,100 machines.
const RATE: u32 = 11_765;

/// One in this many requests that end well is logged; the default of `log.sample`.
const SAMPLE: u32 = 64;

/// Length of one load.
const SPAN: Duration = Duration::from_secs(3);

/// Steps in which a load is offered.
const TICK: Duration = Duration::from_millis(10);

/// Counts lines, or is stuck.
struct Reader {
    lines: Arc<AtomicU64>,
    stuck: Arc<AtomicBool>,
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        while self.stuck.load(Ordering::Relaxed) {
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

/// A load: requests a second, and how many in a hundred are refused.
#[derive(Clone, Copy)]
struct Load {
    name: &'static str,
    rate: u32,
    refused: u32,
    logged: bool,
}

fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Ends one request as the daemon does; returns how long that held the daemon up.
fn end_request(number: u32, load: Load) -> Duration {
    let began = Instant::now();
    let id = format!("{number:016x}");
    if !load.logged {
        std::hint::black_box(id);
        return began.elapsed();
    }
    if number % 100 < load.refused {
        if may_log(("request not served", false), log::Level::Warn, STEPS + 1) {
            write_steps(&id, number);
            log::warn!(target: PREAPPROVED_TARGET, id:% = id, side = "caller", route = "stock",
                service = "trade-desk", outcome = "refused", detail = "overloaded", took_ms = 3;
                "request not served");
        }
    } else if number.is_multiple_of(SAMPLE)
        && may_log(("request served", false), log::Level::Info, STEPS + 1)
    {
        write_steps(&id, number);
        log::info!(target: PREAPPROVED_TARGET, id:% = id, side = "caller", route = "stock",
            service = "trade-desk", outcome = "answered", detail = "200", took_ms = 3;
            "request served");
    }
    began.elapsed()
}

/// Decisions on a request.
const STEPS: u64 = 3;

fn write_steps(id: &str, record: u32) {
    for step in 0..STEPS {
        log::warn!(target: PREAPPROVED_TARGET, id, side = "caller", at_ms = step, decision = "sent",
            detail:% = format_args!("trade-desk 10.1.0.9:8221 by record {record}, try {step}");
            "request decision");
    }
}

/// Offers `load`; returns requests, processor time and the longest time that one request took.
fn offer(load: Load) -> (u32, Duration, Duration) {
    let (start, before) = (Instant::now(), processor_time());
    let (mut sent, mut longest) = (0, Duration::ZERO);
    while start.elapsed() < SPAN {
        let due = (start.elapsed().as_secs_f64() * f64::from(load.rate)) as u32;
        while sent < due {
            longest = longest.max(end_request(sent, load));
            sent += 1;
        }
        thread::sleep(TICK);
    }
    (sent, processor_time() - before, longest)
}

fn main() {
    let (lines, stuck) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let out = Box::new(Reader { lines: Arc::clone(&lines), stuck: Arc::clone(&stuck) });
    let common = vec![("instance", "slot-1".to_owned())];
    start_logs(LogOptions { level: log::LevelFilter::Info, common, out }).expect("logs");
    println!(
        "{:<34} {:>10} {:>12} {:>12} {:>8} {:>9}",
        "load", "requests", "ns a request", "longest us", "written", "dropped"
    );
    let load = |name, rate, refused, logged| Load { name, rate, refused, logged };
    let loads = [
        load("usual, no lines", RATE, 2, false),
        load("usual, 2 in 100 refused", RATE, 2, true),
        load("ten times, no lines", 10 * RATE, 2, false),
        load("ten times, 90 in 100 refused", 10 * RATE, 90, true),
        load("the same, the reader is stuck", 10 * RATE, 90, true),
    ];
    for (index, load) in loads.into_iter().enumerate() {
        stuck.store(index + 1 == loads.len(), Ordering::Relaxed);
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
    stuck.store(false, Ordering::Relaxed);
}
