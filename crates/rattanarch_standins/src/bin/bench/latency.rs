//! Latency and throughput of requests with and without a daemon.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use gumdrop::Options;
use hdrhistogram::Histogram;
use rattanarch_standins::Fleet;
use rattanarch_standins::Program;
use rattanarch_standins::ServicePlan;

use crate::BenchError;
use crate::usage::Usage;

/// Maximum 99th percentile of the latency; required by the users.
const MAX_P99: Duration = Duration::from_millis(19);
/// Number of keys among which those of the first daemon are searched.
const CANDIDATES: usize = 200;

/// Options of `bench latency`.
#[derive(Debug, Options)]
pub(crate) struct LatencyOptions {
    /// Prints the options.
    #[options(help = "print this help")]
    help: bool,
    /// Number of concurrent callers.
    #[options(help = "concurrent callers", meta = "N", default = "8")]
    callers: usize,
    /// Number of requests that each caller sends over each path.
    #[options(help = "requests of each caller over each path", meta = "N", default = "2000")]
    requests: usize,
}

/// Measurements of one path to the upstream.
struct PathFigures {
    name: &'static str,
    latency: Histogram<u64>,
    seconds: f64,
    /// Processor time of the daemons.
    processor: Duration,
}

/// Prints a row for each path with its ratios to the direct path. Returns an error if a bound is missed.
pub(crate) fn measure(options: &LatencyOptions) -> Result<(), BenchError> {
    let mut fleet = Fleet::start(&[ServicePlan::trade_desk(3)])?;
    fleet.wait_balanced("trade-desk", Duration::from_secs(60))?;
    fleet.wait_serving(Duration::from_secs(60))?;
    let program = Program::find("upstream-standin")?.with_argument("--ignore-fences");
    let (_upstream, upstream) = program.start_server("upstream")?;
    let (owner, other) = (fleet.slots[0].caller_address(), fleet.slots[1].caller_address());
    let keys = owned_keys(owner, fleet.slots[0].instance())?;
    let daemons = [pid(&mut fleet, 0)?, pid(&mut fleet, 1)?];
    let prefix = "/trade-desk";
    let paths = [
        measure_path(
            "direct",
            options,
            &Target { address: upstream, prefix: "", keys: &keys },
            &[],
        )?,
        measure_path("owner", options, &Target { address: owner, prefix, keys: &keys }, &daemons)?,
        measure_path(
            "forwarded",
            options,
            &Target { address: other, prefix, keys: &keys },
            &daemons,
        )?,
    ];
    report(&paths)
}

/// Destination and keys of the requests of one path.
struct Target<'a> {
    address: SocketAddr,
    prefix: &'a str,
    keys: &'a [String],
}

impl Target<'_> {
    fn get(&self, agent: &ureq::Agent, key: &str) -> Result<String, ureq::Error> {
        let url = format!("http://{}{}/stock/{key}", self.address, self.prefix);
        let mut response = agent.get(url).header("rattanarch-key", key).call()?;
        response.body_mut().read_to_string()
    }
}

/// Keys that the daemon at `address` serves with its own upstream.
fn owned_keys(address: SocketAddr, instance: &str) -> Result<Vec<String>, BenchError> {
    let agent = ureq::Agent::new_with_defaults();
    let mut keys = Vec::new();
    for number in 0..CANDIDATES {
        let key = format!("latency-{number}");
        let target = Target { address, prefix: "/trade-desk", keys: &[] };
        let body: serde_json::Value = serde_json::from_str(&target.get(&agent, &key)?)?;
        if body["instance"] == instance {
            keys.push(key);
        }
    }
    if keys.is_empty() {
        return Err(format!("daemon of {instance:?} owns none of {CANDIDATES} keys").into());
    }
    Ok(keys)
}

/// Process id of the daemon in a slot.
fn pid(fleet: &mut Fleet, slot: usize) -> Result<u32, BenchError> {
    Ok(fleet.slots[slot].daemon().ok_or("a daemon is missing")?.pid())
}

/// Processor time that `daemons` have used so far.
fn processor_time(daemons: &[u32]) -> Result<Duration, BenchError> {
    daemons.iter().map(|pid| Ok(Usage::read(*pid)?.processor)).sum()
}

fn measure_path(
    name: &'static str,
    options: &LatencyOptions,
    target: &Target<'_>,
    daemons: &[u32],
) -> Result<PathFigures, BenchError> {
    let before = processor_time(daemons)?;
    let start = Instant::now();
    let mut latency = histogram()?;
    thread::scope(|scope| {
        let start_caller =
            |caller: usize| scope.spawn(move || send_requests(target, caller, options.requests));
        let callers: Vec<_> = (0..options.callers).map(start_caller).collect();
        for caller in callers {
            let histogram = caller.join().map_err(|_| "a caller panicked")?;
            latency.add(histogram.map_err(|error| format!("{name}: {error}"))?)?;
        }
        Ok::<_, BenchError>(())
    })?;
    let seconds = start.elapsed().as_secs_f64();
    let processor = processor_time(daemons)?.saturating_sub(before);
    Ok(PathFigures { name, latency, seconds, processor })
}

/// Sends the requests of one caller, one after the other over one connection.
fn send_requests(
    target: &Target<'_>,
    caller: usize,
    requests: usize,
) -> Result<Histogram<u64>, String> {
    let agent = ureq::Agent::new_with_defaults();
    let mut latency = histogram().map_err(|error| error.to_string())?;
    for request in 0..requests {
        let key = &target.keys[(caller + request) % target.keys.len()];
        let start = Instant::now();
        target.get(&agent, key).map_err(|error| error.to_string())?;
        latency.saturating_record(start.elapsed().as_micros() as u64);
    }
    Ok(latency)
}

/// Histogram of microseconds, up to one minute, with three significant digits.
fn histogram() -> Result<Histogram<u64>, BenchError> {
    Ok(Histogram::new_with_bounds(1, 60_000_000, 3)?)
}

fn report(paths: &[PathFigures]) -> Result<(), BenchError> {
    println!(
        "way        p50 ms  p99 ms  requests/s  p50 ratio  p99 ratio  rate ratio  core us/request"
    );
    let figures = |path: &PathFigures| {
        let quantile = |q: f64| path.latency.value_at_quantile(q) as f64 / 1e3;
        (quantile(0.5), quantile(0.99), path.latency.len() as f64 / path.seconds)
    };
    let Some(direct) = paths.first().map(figures) else { return Ok(()) };
    let mut missed = Vec::new();
    for path in paths {
        let (p50, p99, rate) = figures(path);
        println!(
            "{:9}  {p50:6.2}  {p99:6.2}  {rate:10.0}  {:9.2}  {:9.2}  {:10.2}  {:15.0}",
            path.name,
            p50 / direct.0,
            p99 / direct.1,
            rate / direct.2,
            path.processor.as_secs_f64() * 1e6 / path.latency.len().max(1) as f64,
        );
        if p99 > MAX_P99.as_secs_f64() * 1e3 {
            missed.push(format!("p99 of {} is {p99:.1} ms; allowed: {MAX_P99:?}", path.name));
        }
    }
    if missed.is_empty() { Ok(()) } else { Err(missed.join("; ").into()) }
}
