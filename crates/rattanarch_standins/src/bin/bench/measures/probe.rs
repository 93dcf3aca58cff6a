//! Asks for some keys again and again, to see when each is served.
//!
//! The load tool heeds `Retry-After`, whole seconds, so that a key that few ask for is seen to be
//! served again a second late. These callers wait for nothing.

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

/// Callers, each with keys of its own.
const CALLERS: usize = 4;
/// Keys of each caller.
const KEYS: usize = 25;
/// Longest time of a question.
const TIMEOUT: Duration = Duration::from_millis(250);
/// Pause between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(10);

/// Questions that go on beside a change.
pub(crate) struct Probe {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Duration>>,
}

impl Probe {
    /// Starts to ask the daemon at `address`.
    pub(crate) fn start(address: SocketAddr, kind: RequestKind) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let spawn = |caller| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || ask_rounds(address, kind, caller, &stop))
        };
        let callers = (0..CALLERS).map(spawn).collect();
        Self { stop, callers }
    }

    /// Longest time from a key's first question without an answer to its next answer.
    pub(crate) fn finish(self) -> Result<Duration, BenchError> {
        self.stop.store(true, Ordering::Relaxed);
        let mut longest = Duration::ZERO;
        for caller in self.callers {
            longest = longest.max(caller.join().map_err(|_| "a probe panicked")?);
        }
        Ok(longest)
    }
}

fn ask_rounds(
    address: SocketAddr,
    kind: RequestKind,
    caller: usize,
    stop: &AtomicBool,
) -> Duration {
    let config = Agent::config_builder().timeout_global(Some(TIMEOUT)).build();
    let agent: Agent = config.into();
    let mut failing = [None::<Instant>; KEYS];
    let mut longest = Duration::ZERO;
    while !stop.load(Ordering::Relaxed) {
        for (number, since) in failing.iter_mut().enumerate() {
            let asked = Instant::now();
            let key = format!("probe-{}", caller * KEYS + number);
            if !is_served(&agent, address, kind, &key) {
                since.get_or_insert(asked);
            } else if let Some(since) = since.take() {
                longest = longest.max(since.elapsed());
            }
        }
        thread::sleep(PAUSE);
    }
    let open = failing.into_iter().flatten().map(|since| since.elapsed());
    open.fold(longest, Duration::max)
}

fn is_served(agent: &Agent, address: SocketAddr, kind: RequestKind, key: &str) -> bool {
    let url = format!("http://{address}/{}/{kind}/{key}", kind.service());
    let answer = agent.get(url).header("rattanarch-key", key).call();
    answer.is_ok_and(|mut answer| answer.body_mut().read_to_string().is_ok())
}
