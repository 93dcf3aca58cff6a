//! Sends a stream of requests to daemons or directly to upstreams and records each result.

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

/// Maximum number of requests in flight; arrivals are open-loop below this number.
const WORKERS: usize = 64;
/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a response body, in bytes.
const BODY_LIMIT_BYTES: u64 = 8 << 20;

/// How a caller selects an address.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Choice {
    Random,
    RoundRobin,
    /// Selects the same address for all requests of a key.
    ByKey,
}

/// Destination of requests.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Path prefix; the service if the requests go to daemons, else empty.
    pub(crate) prefix: String,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) choice: Choice,
}

/// Requests of one kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestStream {
    pub(crate) firm: Firm,
    pub(crate) kind: RequestKind,
    /// Share of the kind among the firm's requests.
    pub(crate) share: f64,
    /// Rate of the kind, in requests per second.
    pub(crate) rate: f64,
    pub(crate) seed: u64,
    pub(crate) duration: Duration,
}

/// Results of a stream. Latencies are in microseconds and start when the request was due.
pub(crate) struct StreamResult {
    pub(crate) latency: Histogram<u64>,
    pub(crate) sent: u64,
    pub(crate) wrong: u64,
    /// Number of correct responses by instance.
    pub(crate) instances: BTreeMap<String, u64>,
}

/// Result of one request.
enum RequestResult {
    /// The instance that sent the correct response.
    Correct(String),
    Wrong,
    Failed,
}

impl StreamResult {
    fn new() -> Result<Self, BenchError> {
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        Ok(Self { latency, sent: 0, wrong: 0, instances: BTreeMap::new() })
    }

    fn add(&mut self, result: RequestResult, latency: Duration) {
        self.sent += 1;
        match result {
            RequestResult::Correct(instance) => {
                self.latency.saturating_record(latency.as_micros() as u64);
                *self.instances.entry(instance).or_default() += 1;
            }
            RequestResult::Wrong => self.wrong += 1,
            RequestResult::Failed => {}
        }
    }

    /// Responses of the busiest upstream divided by the mean of `count` upstreams.
    pub(crate) fn imbalance(&self, count: usize) -> f64 {
        let most = self.instances.values().copied().max().unwrap_or_default();
        most as f64 * count as f64 / self.latency.len().max(1) as f64
    }
}

/// Sends a stream to a target and waits for the last response.
pub(crate) fn send_stream(
    stream: &RequestStream,
    target: &Target,
) -> Result<StreamResult, BenchError> {
    let arrivals = Arrivals::new(stream.firm, stream.rate / stream.share, stream.seed);
    let kind = stream.kind;
    let duration = stream.duration;
    let planned = arrivals.take_while(|planned| planned.due <= duration);
    let planned = planned.filter(|planned| planned.kind == kind).enumerate();
    let planned: Mutex<Box<dyn Iterator<Item = (usize, PlannedRequest)> + Send>> =
        Mutex::new(Box::new(planned));
    let total = Mutex::new(StreamResult::new()?);
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| {
                let agent = agent();
                loop {
                    let next = planned.lock().ok().and_then(|mut planned| planned.next());
                    let Some((index, planned)) = next else { return };
                    thread::sleep(planned.due.saturating_sub(start.elapsed()));
                    let result = send_request(&agent, target, index, &planned);
                    let latency = start.elapsed().saturating_sub(planned.due);
                    if let Ok(mut total) = total.lock() {
                        total.add(result, latency);
                    }
                }
            });
        }
    });
    Ok(total.into_inner().map_err(|_| "a caller panicked")?)
}

fn agent() -> Agent {
    let config =
        Agent::config_builder().http_status_as_error(false).timeout_global(Some(TIMEOUT)).build();
    config.into()
}

fn select_address(target: &Target, index: usize, planned: &PlannedRequest) -> SocketAddr {
    let selector = match target.choice {
        Choice::Random => planned.draw,
        Choice::RoundRobin => index as u64,
        Choice::ByKey => xxh3_64(planned.key.as_bytes()),
    };
    target.addresses[(selector % target.addresses.len() as u64) as usize]
}

fn send_request(
    agent: &Agent,
    target: &Target,
    index: usize,
    planned: &PlannedRequest,
) -> RequestResult {
    let address = select_address(target, index, planned);
    let PlannedRequest { number, kind, key, file_bytes, .. } = planned;
    let query = match file_bytes {
        Some(length) => format!("bytes={length}"),
        None => format!("echo={number}"),
    };
    let url = format!("http://{address}{}/{kind}/{key}?{query}", target.prefix);
    let Ok(mut response) = agent.get(url).header("rattanarch-key", key).call() else {
        return RequestResult::Failed;
    };
    if response.status() != 200 {
        return RequestResult::Failed;
    }
    let instance_header =
        response.headers().get("upstream-instance").and_then(|name| name.to_str().ok());
    let instance_header = instance_header.map(str::to_owned);
    let Ok(body) = response.body_mut().with_config().limit(BODY_LIMIT_BYTES).read_to_vec() else {
        return RequestResult::Failed;
    };
    let instance = match file_bytes {
        Some(length) => instance_header.filter(|_| is_file(planned, *length, &body)),
        None => value_instance(planned, &body),
    };
    instance.map_or(RequestResult::Wrong, RequestResult::Correct)
}

fn is_file(planned: &PlannedRequest, length: u64, body: &[u8]) -> bool {
    body.len() as u64 == length && Content::new(&planned.key).matches(0, body)
}

/// Instance in a value, if the value belongs to the request.
fn value_instance(planned: &PlannedRequest, body: &[u8]) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    let matches = value["key"] == planned.key.as_str()
        && value["echo"] == planned.number.to_string().as_str();
    value["instance"].as_str().filter(|_| matches).map(str::to_owned)
}
