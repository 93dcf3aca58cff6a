//! Admission of requests to the upstream beside this daemon.

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

/// Maximum number of queued requests per slot.
const QUEUE_PER_SLOT: usize = 2;

/// Limits the requests that run at the upstream at once, and queues the others by priority.
/// Requests that would miss their deadline are shed.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    /// Time zero of the [`Moment`]s passed to the policy.
    origin: Instant,
    state: Arc<Mutex<AdmissionState<Waiter>>>,
}

#[derive(Debug)]
struct AdmissionState<T> {
    limiter: ConcurrencyLimiter,
    /// Number of permits held.
    running: u32,
    queue: Queue<T>,
}

/// State that decides on a request, and what would become of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct AdmissionPreview {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    /// Requests that may run at once now.
    pub(crate) limit: u32,
    pub(crate) warm: bool,
    pub(crate) mean: Duration,
    pub(crate) outcome: PreviewOutcome,
}

/// What would become of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PreviewOutcome {
    /// It starts at once.
    Starts,
    /// It waits for a slot.
    Waits,
    /// It is shed, with this time to retry after.
    Shed(Duration),
}

/// Receives the permit of a queued request, or the time after which to retry if it is shed.
type Waiter = oneshot::Sender<Result<Permit, Duration>>;

/// Permission to run one request at the upstream. Dropping it frees the slot.
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

    /// Waits for a free slot.
    ///
    /// # Errors
    /// [`RequestError::Overloaded`] as soon as no slot is expected to be free before `deadline`.
    pub(crate) async fn admit(
        &self,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Permit, RequestError> {
        let waiter = {
            let mut state = self.lock();
            if state.try_start(priority) {
                return Ok(self.permit());
            }
            let (tx, rx) = oneshot::channel();
            let end = deadline.saturating_duration_since(self.origin);
            let shed = state.push(self.now(), priority, end, tx);
            drop(state);
            reject_shed(shed);
            rx
        };
        // The policy sheds only when a request arrives or ends, so the deadline is enforced here.
        match tokio::time::timeout_at(deadline.into(), waiter).await {
            Ok(Ok(Ok(permit))) => Ok(permit),
            Ok(Ok(Err(retry_after))) => Err(RequestError::Overloaded { retry_after }),
            Ok(Err(_)) | Err(_) => {
                Err(RequestError::Overloaded { retry_after: self.retry_after(priority) })
            }
        }
    }

    /// What would become of a request that is offered now, by an offer to a copy of the state.
    pub(crate) fn preview(&self, priority: Priority, deadline: Instant) -> AdmissionPreview {
        let mut copy = self.lock().copy();
        let (running, waiting) = (copy.running, copy.queue.len() as u32);
        let (limit, warm) = (copy.limiter.limit(), copy.limiter.is_warm());
        let mean = copy.limiter.mean_service_time();
        let outcome = if copy.try_start(priority) {
            PreviewOutcome::Starts
        } else {
            let end = deadline.saturating_duration_since(self.origin);
            let shed = copy.push(self.now(), priority, end, true);
            let own = shed.into_iter().find(|shed| shed.item);
            own.map_or(PreviewOutcome::Waits, |shed| PreviewOutcome::Shed(shed.retry_after))
        };
        AdmissionPreview { running, waiting, limit, warm, mean, outcome }
    }

    /// Records the outcome of a request that still holds its permit, and adapts the limit.
    pub(crate) fn record_outcome(&self, outcome: AttemptOutcome) {
        let mut state = self.lock();
        let outcome = match outcome {
            // This daemon is the only caller and stays within the slots, so a refusal means that
            // the upstream is still cold.
            AttemptOutcome::Refused if !state.limiter.is_warm() => AttemptOutcome::Cold,
            other => other,
        };
        let running = state.running.max(1);
        state.limiter.observe(self.now(), outcome, running);
        drop(state);
        self.admit_waiting();
    }

    /// Applies a load report of the upstream.
    pub(crate) fn apply_report(&self, report: LoadReport) {
        let mut state = self.lock();
        let running = state.running;
        state.limiter.apply_report(self.now(), report, running);
    }

    fn admit_waiting(&self) {
        while let Some(waiter) = self.next_waiter() {
            // If the receiver is gone, the permit is dropped, which admits the next request.
            let _ = waiter.send(Ok(self.permit()));
        }
    }

    /// The next waiter, for which a slot is already counted.
    fn next_waiter(&self) -> Option<Waiter> {
        let mut state = self.lock();
        if state.running >= state.limiter.limit() {
            return None;
        }
        state.update_throughput();
        let popped = state.queue.pop(self.now());
        if popped.next.is_some() {
            state.running += 1;
        }
        drop(state);
        reject_shed(popped.shed);
        popped.next
    }

    fn retry_after(&self, priority: Priority) -> Duration {
        self.lock().queue.expected_wait(priority).max(Duration::from_millis(1))
    }

    fn permit(&self) -> Permit {
        Permit { admission: self.clone() }
    }

    fn now(&self) -> Moment {
        self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState<Waiter>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T> AdmissionState<T> {
    /// A copy in which each waiting request is `false`, so that an offered one can be told from them.
    fn copy(&self) -> AdmissionState<bool> {
        let queue = self.queue.copy_with(|_| Some(false));
        AdmissionState { limiter: self.limiter.clone(), running: self.running, queue }
    }

    /// Takes a slot for a new request if one is free and no other request waits for it.
    fn try_start(&mut self, priority: Priority) -> bool {
        let starts = self.running < self.limiter.limit() && self.queue.ahead(priority) == 0;
        self.running += u32::from(starts);
        starts
    }

    fn push(
        &mut self,
        now: Moment,
        priority: Priority,
        deadline: Moment,
        item: T,
    ) -> Vec<ShedRequest<T>> {
        self.update_throughput();
        self.queue.push(now, priority, deadline, item)
    }

    fn update_throughput(&mut self) {
        let throughput = Throughput {
            concurrency: self.limiter.limit(),
            service_time: self.limiter.mean_service_time(),
        };
        self.queue.set_throughput(throughput);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.lock().running -= 1;
        self.admission.admit_waiting();
    }
}

fn reject_shed(shed: Vec<ShedRequest<Waiter>>) {
    for ShedRequest { item, retry_after, .. } in shed {
        // The receiver may be gone; then nobody needs the result.
        let _ = item.send(Err(retry_after));
    }
}
