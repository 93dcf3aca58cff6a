//! Thread that extends the upstream's grant along with the lease.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use rattanarch_types::Fence;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use tokio::sync::mpsc::UnboundedSender;

use crate::process::Clock;
use crate::process::ControlError;
use crate::process::Counters;
use crate::process::Input;
use crate::process::random;
use crate::process::upstream_control::ClockReading;
use crate::process::upstream_control::GrantOutcome;
use crate::process::upstream_control::UpstreamControl;
use crate::version::Grant;

/// Delay after a failed call, and between calls while requests run under lower fences.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum time between two calls, so that the loss of the upstream is noticed even while there is no lease to extend.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two requests for the upstream's load.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Grant that the control loop wants the upstream to accept.
#[derive(Clone, Copy, Debug, Default)]
struct DesiredGrant {
    /// End of the lease; the grant does not end later.
    until: Moment,
    /// How often a higher fence was requested so far.
    raises: u64,
    /// Lower bound of the fence, exclusive.
    above: Fence,
    /// Number of changes so far, by which the thread detects a change that came while it was not waiting.
    changes: u64,
}

/// Handle of the thread that gives grants to the upstream.
#[derive(Debug)]
pub(crate) struct Granter {
    desired: Arc<(Mutex<DesiredGrant>, Condvar)>,
}

impl Granter {
    /// Starts the thread, which sends accepted grants, fences and load reports to `inputs`.
    ///
    /// `initial` is a fence of this process that the upstream has accepted, so that it refuses those of all earlier
    /// boots.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub(crate) fn start(
        upstream: UpstreamControl,
        (reading, initial): (ClockReading, Fence),
        inputs: UnboundedSender<Input>,
        counters: Arc<Counters>,
    ) -> std::io::Result<Self> {
        let desired = Arc::new((Mutex::new(DesiredGrant::default()), Condvar::new()));
        let thread = GranterThread {
            upstream,
            reading,
            fence: initial,
            raises: 0,
            fence_reported: true,
            clock: Clock,
            load_requested: Moment::ZERO,
            inputs,
            counters,
            desired: Arc::clone(&desired),
        };
        std::thread::Builder::new().name("granter".to_owned()).spawn(move || thread.run())?;
        Ok(Self { desired })
    }

    /// Extends the grant to `until`, the end of the lease.
    pub(crate) fn extend(&self, until: Moment) {
        self.change(|desired| {
            let later = until > desired.until;
            desired.until = desired.until.max(until);
            later
        });
    }

    /// Raises the fence; [`Input::Fenced`] follows once no request runs under a lower one.
    pub(crate) fn raise_fence(&self) {
        self.raise_fence_above(0);
    }

    /// Raises the fence to one above `fence` and above the current one; see [`Self::raise_fence`].
    pub(crate) fn raise_fence_above(&self, fence: Fence) {
        self.change(|desired| {
            desired.raises += 1;
            desired.above = desired.above.max(fence);
            true
        });
    }

    /// Applies `change` to the desired grant, and wakes the thread if it returns true.
    fn change(&self, change: impl FnOnce(&mut DesiredGrant) -> bool) {
        let (desired, signal) = &*self.desired;
        let mut desired = desired.lock().unwrap_or_else(PoisonError::into_inner);
        if change(&mut desired) {
            desired.changes += 1;
            signal.notify_one();
        }
    }
}

struct GranterThread {
    upstream: UpstreamControl,
    reading: ClockReading,
    /// Fence of the next grant.
    fence: Fence,
    /// How many of the requested raises are included in `fence`.
    raises: u64,
    /// Whether the control loop knows that no request runs under a fence lower than `fence`.
    fence_reported: bool,
    clock: Clock,
    /// When the load was last requested.
    load_requested: Moment,
    inputs: UnboundedSender<Input>,
    counters: Arc<Counters>,
    desired: Arc<(Mutex<DesiredGrant>, Condvar)>,
}

impl GranterThread {
    fn run(mut self) {
        let mut seen_changes = 0;
        while !self.inputs.is_closed() {
            let desired = self.wait_for_change(seen_changes);
            seen_changes = desired.changes;
            self.update_fence(desired);
            match self.renew_grant(desired) {
                Ok(older_running) => {
                    self.report_fence(older_running);
                    self.report_load();
                }
                Err(error) => {
                    log::debug!(reason:% = error; "upstream did not accept the grant");
                    self.fence_reported = false;
                }
            }
            if !self.fence_reported {
                std::thread::sleep(RETRY_DELAY);
                seen_changes = 0;
            }
        }
    }

    /// Fetches the upstream's load and reports it to the control loop, at most once in each [`LOAD_INTERVAL`].
    fn report_load(&mut self) {
        let now = self.clock.now();
        if now.saturating_sub(self.load_requested) < LOAD_INTERVAL {
            return;
        }
        self.load_requested = now;
        // Without an answer, the load that the daemon has measured remains in use.
        if let Ok(load) = self.upstream.load() {
            let _ = self.inputs.send(Input::UpstreamLoad(load));
        }
    }

    /// Raises the fence by one for each raise requested since the last call, and above the requested bound.
    fn update_fence(&mut self, desired: DesiredGrant) {
        if self.raises == desired.raises {
            return;
        }
        self.fence += desired.raises - self.raises;
        self.raises = desired.raises;
        if self.fence <= desired.above {
            self.fence = next_fence(desired.above);
        }
        self.fence_reported = false;
    }

    /// Reports the fence to the control loop once no request runs under a lower one.
    fn report_fence(&mut self, older_running: u64) {
        if self.fence_reported || older_running > 0 {
            return;
        }
        self.fence_reported = true;
        let _ = self.inputs.send(Input::Fenced(self.fence));
    }

    /// Waits until the number of changes differs from `seen_changes`, at most for [`IDLE_INTERVAL`].
    fn wait_for_change(&self, seen_changes: u64) -> DesiredGrant {
        let (desired, signal) = &*self.desired;
        let guard = desired.lock().unwrap_or_else(PoisonError::into_inner);
        if guard.changes != seen_changes {
            return *guard;
        }
        match signal.wait_timeout(guard, IDLE_INTERVAL) {
            Ok((guard, _)) => *guard,
            Err(poisoned) => *poisoned.into_inner().0,
        }
    }

    /// Gives the desired grant; returns the number of requests that run under lower fences.
    fn renew_grant(&mut self, desired: DesiredGrant) -> Result<u64, ControlError> {
        let fence = self.fence;
        match self.send_grant(fence, desired.until) {
            Ok(GrantOutcome::Accepted { reading, older_running }) => {
                self.reading = reading;
                Counters::add(&self.counters.grants);
                let grant = Grant { fence, until: desired.until };
                let _ = self.inputs.send(Input::Granted(grant));
                Ok(older_running)
            }
            Ok(GrantOutcome::Superseded(fence)) => {
                Counters::add(&self.counters.grant_failures);
                let _ = self.inputs.send(Input::Superseded(fence));
                // The control loop ends now. A fence that the upstream has not accepted must not be reported.
                Ok(u64::MAX)
            }
            Ok(GrantOutcome::Restarted) => {
                Counters::add(&self.counters.grant_failures);
                self.reading = self.upstream.clock()?.0;
                self.renew_grant(desired)
            }
            Err(error) => {
                Counters::add(&self.counters.grant_failures);
                Err(error)
            }
        }
    }

    fn send_grant(&self, fence: Fence, until: Moment) -> Result<GrantOutcome, ControlError> {
        self.upstream.grant(fence, self.reading.grant_end_by(until))
    }
}

/// Range of the random part of a process's first fence, by which two processes that start at the same time in one slot
/// get different fences.
const FENCE_SPREAD: Fence = 1 << 20;

/// Returns a fence above `accepted` and above all fences that the process of `accepted` can reach by raising it.
fn next_fence(accepted: Fence) -> Fence {
    accepted + Member::FENCE_SPAN + random() % FENCE_SPREAD
}

/// Makes the upstream refuse the fences of all earlier boots; returns the new fence and a reading of its clock.
///
/// # Errors
/// If the upstream does not answer; whether it has accepted a fence is then unknown.
pub(crate) fn fence_earlier_boots(
    upstream: &UpstreamControl,
) -> Result<(ClockReading, Fence), ControlError> {
    let (mut reading, accepted) = upstream.clock()?;
    let mut fence = next_fence(accepted);
    loop {
        // A grant that ends at 0 permits no requests yet.
        match upstream.grant(fence, reading.grant_end_at(0))? {
            GrantOutcome::Accepted { reading, .. } => return Ok((reading, fence)),
            GrantOutcome::Superseded(higher) => fence = next_fence(higher),
            GrantOutcome::Restarted => reading = upstream.clock()?.0,
        }
    }
}

impl std::fmt::Debug for GranterThread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("GranterThread")
    }
}
