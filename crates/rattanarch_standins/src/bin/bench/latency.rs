//! What the daemon adds to a request.

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

/// Longest time for 99 in 100 requests: the users' letter.
const MAX_P99: Duration = Duration::from_millis(19);
/// Keys searched for ones that the first daemon owns.
const CANDIDATES: usize = 200;

/// Options of `bench latency`.
#[derive(Debug, Options)]
pub(crate) struct LatencyOptions {
    /// Prints the options.
    #[options(help = "print this help")]
    help: bool,
    /// Concurrent callers.
    #[options(help = "concurrent callers", meta = "N", default = "8")]
    callers: usize,
    /// Requests of each caller.
    #[options(help = "requests of each caller, each way", meta = "N", default = "2000")]
    requests: usize,
}

/// One way to the upstream, measured.
struct Way {
    name: &'static str,
    latency: Histogram<u64>,
    seconds: f64,
    /// Processor time of the daemons on the way.
    processor: Duration,
}

/// Prints a row for each way and the ratios to the direct one; an error if a bound is missed.
pub(crate) fn measure(options: &LatencyOptions) -> Result<(), BenchError> {
    let mut fleet = Fleet::start(&[ServicePlan::trade_desk(3)])?;
    fleet.wait_balanced("trade-desk", Duration::from_secs(60))?;
    fleet.wait_serving(Duration::from_secs(60))?;
    let direct = Program::find("upstream-standin")?.with_argument("--ignore-fences");
    let (_upstream, upstream) = direct.start_server("upstream")?;
    let (owner, other) = (fleet.slots[0].caller_address(), fleet.slots[1].caller_address());
    let keys = owned_keys(owner, fleet.slots[0].instance())?;
    let daemons = [pid(&mut fleet, 0)?, pid(&mut fleet, 1)?];
    let prefix = "/trade-desk";
    let ways = [
        run("direct", options, &Target { address: upstream, prefix: "", keys: &keys }, &[])?,
        run("owner", options, &Target { address: owner, prefix, keys: &keys }, &daemons)?,
        run("forwarded", options, &Target { address: other, prefix, keys: &keys }, &daemons)?,
    ];
    report(&ways)
}

/// Where the requests of one way go.
struct Target<'a> {
    address: SocketAddr,
    prefix: &'a str,
    keys: &'a [String],
}

impl Target<'_> {
    fn get(&self, agent: &ureq::Agent, key: &str) -> Result<String, ureq::Error> {
        let url = format!("http://{}{}/stock/{key}", self.address, self.prefix);
        let mut answer = agent.get(url).header("rattanarch-key", key).call()?;
        answer.body_mut().read_to_string()
    }
}

/// Keys that the daemon at `address` serves at its own upstream.
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

/// Process of the daemon in a slot.
fn pid(fleet: &mut Fleet, slot: usize) -> Result<u32, BenchError> {
    Ok(fleet.slots[slot].daemon().ok_or("a daemon is missing")?.pid())
}

/// Processor time that all of `daemons` have used.
fn processor(daemons: &[u32]) -> Result<Duration, BenchError> {
    daemons.iter().map(|pid| Ok(Usage::read(*pid)?.processor)).sum()
}

fn run(
    name: &'static str,
    options: &LatencyOptions,
    target: &Target<'_>,
    daemons: &[u32],
) -> Result<Way, BenchError> {
    let before = processor(daemons)?;
    let start = Instant::now();
    let mut latency = histogram()?;
    thread::scope(|scope| {
        let call = |caller: usize| scope.spawn(move || call(target, caller, options.requests));
        let callers: Vec<_> = (0..options.callers).map(call).collect();
        for caller in callers {
            let part = caller.join().map_err(|_| "a caller panicked")?;
            latency.add(part.map_err(|error| format!("{name}: {error}"))?)?;
        }
        Ok::<_, BenchError>(())
    })?;
    let seconds = start.elapsed().as_secs_f64();
    let processor = processor(daemons)?.saturating_sub(before);
    Ok(Way { name, latency, seconds, processor })
}

/// One caller: sends its requests one after the other over one connection.
fn call(target: &Target<'_>, caller: usize, requests: usize) -> Result<Histogram<u64>, String> {
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

/// Microseconds up to a minute, with three digits.
fn histogram() -> Result<Histogram<u64>, BenchError> {
    Ok(Histogram::new_with_bounds(1, 60_000_000, 3)?)
}

fn report(ways: &[Way]) -> Result<(), BenchError> {
    println!(
        "way        p50 ms  p99 ms  requests/s  p50 ratio  p99 ratio  rate ratio  core us/request"
    );
    let figures = |way: &Way| {
        let quantile = |q: f64| way.latency.value_at_quantile(q) as f64 / 1e3;
        (quantile(0.5), quantile(0.99), way.latency.len() as f64 / way.seconds)
    };
    let Some(direct) = ways.first().map(figures) else { return Ok(()) };
    let mut missed = Vec::new();
    for way in ways {
        let (p50, p99, rate) = figures(way);
        println!(
            "{:9}  {p50:6.2}  {p99:6.2}  {rate:10.0}  {:9.2}  {:9.2}  {:10.2}  {:15.0}",
            way.name,
            p50 / direct.0,
            p99 / direct.1,
            rate / direct.2,
            way.processor.as_secs_f64() * 1e6 / way.latency.len().max(1) as f64,
        );
        if p99 > MAX_P99.as_secs_f64() * 1e3 {
            missed.push(format!("p99 of {} is {p99:.1} ms; allowed: {MAX_P99:?}", way.name));
        }
    }
    if missed.is_empty() { Ok(()) } else { Err(missed.join("; ").into()) }
}
