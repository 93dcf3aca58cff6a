//! Requests some keys repeatedly to find when each is served.
//!
//! The load generator obeys `Retry-After`, which is in whole seconds, so that it may find a rarely
//! requested key served one second late. The callers of the probe do not wait.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rattanarch_standins::RequestKind;
use ureq::Agent;

use crate::BenchError;

/// Number of callers; each requests its own keys.
const CALLERS: usize = 4;
/// Number of keys per caller.
const KEYS: usize = 25;
/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_millis(250);
/// Delay between two rounds of requests.
const ROUND_DELAY: Duration = Duration::from_millis(10);

/// Callers that run during a change.
pub(crate) struct Probe {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Duration>>,
}

impl Probe {
    /// Starts callers that send requests of `kind` to the daemon at `address`.
    pub(crate) fn start(address: SocketAddr, kind: RequestKind) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let spawn = |caller| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || probe_keys(address, kind, caller, &stop))
        };
        let callers = (0..CALLERS).map(spawn).collect();
        Self { stop, callers }
    }

    /// Stops the callers. Returns the longest time from the first failed request for a key to its next
    /// response.
    pub(crate) fn finish(self) -> Result<Duration, BenchError> {
        self.stop.store(true, Ordering::Relaxed);
        let mut longest = Duration::ZERO;
        for caller in self.callers {
            longest = longest.max(caller.join().map_err(|_| "a probe panicked")?);
        }
        Ok(longest)
    }
}

fn probe_keys(
    address: SocketAddr,
    kind: RequestKind,
    caller: usize,
    stop: &AtomicBool,
) -> Duration {
    let config = Agent::config_builder().timeout_global(Some(TIMEOUT)).build();
    let agent: Agent = config.into();
    let mut unserved_since = [None::<Instant>; KEYS];
    let mut longest = Duration::ZERO;
    while !stop.load(Ordering::Relaxed) {
        for (number, since) in unserved_since.iter_mut().enumerate() {
            let start = Instant::now();
            let key = format!("probe-{}", caller * KEYS + number);
            if !is_served(&agent, address, kind, &key) {
                since.get_or_insert(start);
            } else if let Some(since) = since.take() {
                longest = longest.max(since.elapsed());
            }
        }
        thread::sleep(ROUND_DELAY);
    }
    let unserved = unserved_since.into_iter().flatten().map(|since| since.elapsed());
    unserved.fold(longest, Duration::max)
}

fn is_served(agent: &Agent, address: SocketAddr, kind: RequestKind, key: &str) -> bool {
    let url = format!("http://{address}/{}/{kind}/{key}", kind.service());
    let response = agent.get(url).header("rattanarch-key", key).call();
    response.is_ok_and(|mut response| response.body_mut().read_to_string().is_ok())
}
