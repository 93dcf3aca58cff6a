//! Callers that follow each of their requests, through daemons or straight to upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use rattanarch_standins::Arrivals;
use rattanarch_standins::Content;
use rattanarch_standins::Firm;
use rattanarch_standins::PlannedRequest;
use rattanarch_standins::RequestKind;
use ureq::Agent;
use xxhash_rust::xxh3::xxh3_64;

use crate::BenchError;

/// Requests that can be under way; arrivals are open-loop below it.
const WORKERS: usize = 64;
/// Longest time of a request.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Longest answer that is read, in bytes.
const ANSWER_LIMIT: u64 = 8 << 20;

/// How a caller chooses among addresses.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Choice {
    Random,
    RoundRobin,
    /// The same one for each key.
    ByKey,
}

/// Where requests go, and how.
#[derive(Clone, Debug)]
pub(crate) struct Way {
    /// Path before the route; daemons want the service there.
    pub(crate) prefix: String,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) choice: Choice,
}

/// Requests of one kind at a rate, in requests a second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stream {
    pub(crate) firm: Firm,
    pub(crate) kind: RequestKind,
    /// Share of the kind among the firm's requests.
    pub(crate) share: f64,
    pub(crate) rate: f64,
    pub(crate) seed: u64,
    pub(crate) span: Duration,
}

/// What came of the requests; latencies in microseconds, from the time that each was due.
pub(crate) struct Outcome {
    pub(crate) latency: Histogram<u64>,
    pub(crate) sent: u64,
    pub(crate) wrong: u64,
    pub(crate) instances: BTreeMap<String, u64>,
}

/// What one answer was.
enum Reply {
    Right(String),
    Wrong,
    Failed,
}

impl Outcome {
    fn new() -> Result<Self, BenchError> {
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        Ok(Self { latency, sent: 0, wrong: 0, instances: BTreeMap::new() })
    }

    fn add(&mut self, reply: Reply, latency: Duration) {
        self.sent += 1;
        match reply {
            Reply::Right(instance) => {
                self.latency.saturating_record(latency.as_micros() as u64);
                *self.instances.entry(instance).or_default() += 1;
            }
            Reply::Wrong => self.wrong += 1,
            Reply::Failed => {}
        }
    }

    /// Most answers of one of `count` upstreams over the mean.
    pub(crate) fn imbalance(&self, count: usize) -> f64 {
        let most = self.instances.values().copied().max().unwrap_or_default();
        most as f64 * count as f64 / self.latency.len().max(1) as f64
    }
}

/// Sends a stream over a way and waits for the last answer.
pub(crate) fn send(stream: &Stream, way: &Way) -> Result<Outcome, BenchError> {
    let arrivals = Arrivals::new(stream.firm, stream.rate / stream.share, stream.seed);
    let kind = stream.kind;
    let span = stream.span;
    let planned = arrivals.take_while(|planned| planned.due <= span);
    let planned = planned.filter(|planned| planned.kind == kind).enumerate();
    let planned: Mutex<Box<dyn Iterator<Item = (usize, PlannedRequest)> + Send>> =
        Mutex::new(Box::new(planned));
    let outcome = Mutex::new(Outcome::new()?);
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| {
                let agent = agent();
                loop {
                    let next = planned.lock().ok().and_then(|mut planned| planned.next());
                    let Some((turn, planned)) = next else { return };
                    thread::sleep(planned.due.saturating_sub(start.elapsed()));
                    let reply = ask(&agent, way, turn, &planned);
                    let latency = start.elapsed().saturating_sub(planned.due);
                    if let Ok(mut outcome) = outcome.lock() {
                        outcome.add(reply, latency);
                    }
                }
            });
        }
    });
    Ok(outcome.into_inner().map_err(|_| "a caller panicked")?)
}

fn agent() -> Agent {
    let config =
        Agent::config_builder().http_status_as_error(false).timeout_global(Some(TIMEOUT)).build();
    config.into()
}

fn choose(way: &Way, turn: usize, planned: &PlannedRequest) -> SocketAddr {
    let draw = match way.choice {
        Choice::Random => planned.draw,
        Choice::RoundRobin => turn as u64,
        Choice::ByKey => xxh3_64(planned.key.as_bytes()),
    };
    way.addresses[(draw % way.addresses.len() as u64) as usize]
}

fn ask(agent: &Agent, way: &Way, turn: usize, planned: &PlannedRequest) -> Reply {
    let address = choose(way, turn, planned);
    let PlannedRequest { number, kind, key, file_bytes, .. } = planned;
    let query = match file_bytes {
        Some(length) => format!("bytes={length}"),
        None => format!("echo={number}"),
    };
    let url = format!("http://{address}{}/{kind}/{key}?{query}", way.prefix);
    let Ok(mut answer) = agent.get(url).header("rattanarch-key", key).call() else {
        return Reply::Failed;
    };
    if answer.status() != 200 {
        return Reply::Failed;
    }
    let named = answer.headers().get("upstream-instance").and_then(|name| name.to_str().ok());
    let named = named.map(str::to_owned);
    let Ok(body) = answer.body_mut().with_config().limit(ANSWER_LIMIT).read_to_vec() else {
        return Reply::Failed;
    };
    let instance = match file_bytes {
        Some(length) => named.filter(|_| is_file(planned, *length, &body)),
        None => value_instance(planned, &body),
    };
    instance.map_or(Reply::Wrong, Reply::Right)
}

fn is_file(planned: &PlannedRequest, length: u64, body: &[u8]) -> bool {
    body.len() as u64 == length && Content::new(&planned.key).matches(0, body)
}

/// Instance that answered, if the answer is the request's own.
fn value_instance(planned: &PlannedRequest, body: &[u8]) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    let own = value["key"] == planned.key.as_str()
        && value["echo"] == planned.number.to_string().as_str();
    value["instance"].as_str().filter(|_| own).map(str::to_owned)
}
