//! Which requests run at the upstream, and when.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rattanarch_types::Priority;
use tokio::sync::oneshot;

use crate::request::RequestError;
use crate::request::limiter::Ending;
use crate::request::limiter::Limiter;
use crate::request::waiting::Waiting;

/// Most waiting requests for each slot.
const QUEUE_PER_SLOT: usize = 2;
/// Least time that a refused caller is told to stay away.
const MIN_RETRY: Duration = Duration::from_millis(20);

/// Lets requests through to the upstream: no more at once than it bears, the urgent first, and
/// none that would come too late.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    state: Arc<Mutex<AdmissionState>>,
}

#[derive(Debug)]
struct AdmissionState {
    limiter: Limiter,
    running: u32,
    waiting: Waiting<oneshot::Sender<Permit>>,
}

/// Leave to run one request at the upstream, until dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Admission,
}

impl Admission {
    pub(crate) fn new(slots: u16) -> Self {
        let waiting = Waiting::new(usize::from(slots) * QUEUE_PER_SLOT);
        let state = AdmissionState { limiter: Limiter::new(slots), running: 0, waiting };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// [`RequestError::Overloaded`] as soon as it is clear that none is free in time.
    pub(crate) async fn admit(
        &self,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Permit, RequestError> {
        let (waiter, latest, wait) = {
            let mut state = self.lock();
            if state.running < state.limiter.limit() && state.waiting.ahead(priority) == 0 {
                state.running += 1;
                return Ok(Permit { admission: self.clone() });
            }
            let wait = state.expected_wait(priority);
            let latest = deadline.checked_sub(state.limiter.mean()).unwrap_or(deadline);
            if Instant::now() + wait >= latest {
                return Err(overloaded(wait));
            }
            let (tx, rx) = oneshot::channel();
            state.waiting.push(priority, latest, tx);
            (rx, latest, wait)
        };
        match tokio::time::timeout_at(latest.into(), waiter).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(overloaded(wait)),
        }
    }

    /// Learns from a request's end.
    pub(crate) fn note(&self, ending: Ending) {
        let mut state = self.lock();
        let running = state.running;
        state.limiter.note(ending, running);
        drop(state);
        self.start_waiting();
    }

    fn start_waiting(&self) {
        while let Some(waiter) = self.next_waiter() {
            // A waiter that has gone away drops its permit, which starts the next.
            let _ = waiter.send(Permit { admission: self.clone() });
        }
    }

    /// The next waiter, a slot being taken for it.
    fn next_waiter(&self) -> Option<oneshot::Sender<Permit>> {
        let mut state = self.lock();
        if state.running >= state.limiter.limit() {
            return None;
        }
        let waiter = state.waiting.pop(Instant::now())?;
        state.running += 1;
        Some(waiter)
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AdmissionState {
    /// How long a new request would wait, at the mean service time.
    fn expected_wait(&self, priority: Priority) -> Duration {
        let rounds = self.waiting.ahead(priority) as f64 / f64::from(self.limiter.limit());
        self.limiter.mean().mul_f64(rounds)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.lock().running -= 1;
        self.admission.start_waiting();
    }
}

fn overloaded(wait: Duration) -> RequestError {
    RequestError::Overloaded { retry: wait.max(MIN_RETRY) }
}
