//! Which requests run at the upstream, and when.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::ConcurrencyLimiter;
use rattanarch_admission::LoadReport;
use rattanarch_admission::Queue;
use rattanarch_admission::ShedRequest;
use rattanarch_admission::Throughput;
use rattanarch_types::Moment;
use rattanarch_types::Priority;
use tokio::sync::oneshot;

use crate::request::RequestError;

/// Most waiting requests for each slot.
const QUEUE_PER_SLOT: usize = 2;

/// Lets requests through to the upstream: no more at once than it bears, the urgent first, and
/// none that would come too late.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    /// Origin of the moments given to the policy.
    origin: Instant,
    state: Arc<Mutex<AdmissionState>>,
}

#[derive(Debug)]
struct AdmissionState {
    limiter: ConcurrencyLimiter,
    /// Permits that are held.
    running: u32,
    queue: Queue<Waiter>,
}

/// Where a waiting request learns of its permit, or after what time to come back.
type Waiter = oneshot::Sender<Result<Permit, Duration>>;

/// Leave to run one request at the upstream, until dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Admission,
}

impl Admission {
    pub(crate) fn new(slots: u16) -> Self {
        let queue = Queue::new(usize::from(slots) * QUEUE_PER_SLOT);
        let state = AdmissionState { limiter: ConcurrencyLimiter::new(slots), running: 0, queue };
        Self { origin: Instant::now(), state: Arc::new(Mutex::new(state)) }
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
        let waiter = {
            let mut state = self.lock();
            if state.running < state.limiter.limit() && state.queue.ahead(priority) == 0 {
                state.running += 1;
                return Ok(self.permit());
            }
            let (tx, rx) = oneshot::channel();
            let end = deadline.saturating_duration_since(self.origin);
            let shed = state.push(self.now(), priority, end, tx);
            drop(state);
            turn_away(shed);
            rx
        };
        // What is not shed by the policy is given up here: nothing may end while it waits.
        match tokio::time::timeout_at(deadline.into(), waiter).await {
            Ok(Ok(Ok(permit))) => Ok(permit),
            Ok(Ok(Err(retry))) => Err(RequestError::Overloaded { retry }),
            Ok(Err(_)) | Err(_) => Err(RequestError::Overloaded { retry: self.retry(priority) }),
        }
    }

    /// Learns from a request's end; its permit still counts.
    pub(crate) fn note(&self, ending: AttemptOutcome) {
        let mut state = self.lock();
        let ending = match ending {
            // This daemon is its only caller and keeps within its slots: it bears less than warm.
            AttemptOutcome::Refused if !state.limiter.is_warm() => AttemptOutcome::Cold,
            other => other,
        };
        let running = state.running.max(1);
        state.limiter.observe(self.now(), ending, running);
        drop(state);
        self.start_waiting();
    }

    /// Takes the upstream's own report of its load.
    pub(crate) fn report(&self, report: LoadReport) {
        let mut state = self.lock();
        let running = state.running;
        state.limiter.apply_report(self.now(), report, running);
    }

    fn start_waiting(&self) {
        while let Some(waiter) = self.next_waiter() {
            // A waiter that has gone away drops its permit, which starts the next.
            let _ = waiter.send(Ok(self.permit()));
        }
    }

    /// The next waiter, a slot being taken for it.
    fn next_waiter(&self) -> Option<Waiter> {
        let mut state = self.lock();
        if state.running >= state.limiter.limit() {
            return None;
        }
        state.set_pace();
        let popped = state.queue.pop(self.now());
        if popped.next.is_some() {
            state.running += 1;
        }
        drop(state);
        turn_away(popped.shed);
        popped.next
    }

    fn retry(&self, priority: Priority) -> Duration {
        self.lock().queue.expected_wait(priority).max(Duration::from_millis(1))
    }

    fn permit(&self) -> Permit {
        Permit { admission: self.clone() }
    }

    fn now(&self) -> Moment {
        self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AdmissionState {
    fn push(
        &mut self,
        now: Moment,
        priority: Priority,
        deadline: Moment,
        waiter: Waiter,
    ) -> Vec<ShedRequest<Waiter>> {
        self.set_pace();
        self.queue.push(now, priority, deadline, waiter)
    }

    fn set_pace(&mut self) {
        let pace = Throughput {
            concurrency: self.limiter.limit(),
            service_time: self.limiter.mean_service_time(),
        };
        self.queue.set_throughput(pace);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.lock().running -= 1;
        self.admission.start_waiting();
    }
}

fn turn_away(shed: Vec<ShedRequest<Waiter>>) {
    for ShedRequest { item, retry_after } in shed {
        // A waiter that has gone away needs no answer.
        let _ = item.send(Err(retry_after));
    }
}
