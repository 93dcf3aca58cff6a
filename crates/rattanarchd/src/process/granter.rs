//! Keeps the upstream's grant in step with the lease.

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

/// Wait before a failed call is tried again, and between two looks at requests that still run.
const RETRY_WAIT: Duration = Duration::from_millis(50);
/// Longest time without a call, so that an upstream that is gone is noticed without a lease.
const IDLE_WAIT: Duration = Duration::from_millis(400);

/// Time between two questions for the upstream's load.
const LOAD_WAIT: Duration = Duration::from_secs(1);

/// What the control loop wants the upstream to have taken.
#[derive(Clone, Copy, Debug, Default)]
struct Wanted {
    /// End of the lease; the grant ends no later.
    until: Moment,
    /// Counts how often a higher fence was asked for.
    raises: u64,
    /// The fence must be above this.
    above: Fence,
    /// Counts changes, so that the thread sees each.
    changes: u64,
}

/// A thread that gives the upstream grants.
#[derive(Debug)]
pub(crate) struct Granter {
    wanted: Arc<(Mutex<Wanted>, Condvar)>,
}

impl Granter {
    /// Starts the thread; grants taken and failures go to `inputs`.
    ///
    /// `first` is a fence that the upstream has taken from this process, so that it refuses every
    /// earlier life's.
    pub(crate) fn start(
        upstream: UpstreamControl,
        (reading, first): (ClockReading, Fence),
        inputs: UnboundedSender<Input>,
        counters: Arc<Counters>,
    ) -> std::io::Result<Self> {
        let wanted = Arc::new((Mutex::new(Wanted::default()), Condvar::new()));
        let thread = GranterThread {
            upstream,
            reading,
            fence: first,
            raises: 0,
            settled: true,
            clock: Clock,
            reported: Moment::ZERO,
            inputs,
            counters,
            wanted: Arc::clone(&wanted),
        };
        std::thread::Builder::new().name("granter".to_owned()).spawn(move || thread.run())?;
        Ok(Self { wanted })
    }

    /// Asks that the grant last until the lease's end.
    pub(crate) fn extend(&self, until: Moment) {
        self.change(|wanted| {
            let later = until > wanted.until;
            wanted.until = wanted.until.max(until);
            later
        });
    }

    /// Asks for a higher fence; [`Input::Fenced`] tells when nothing runs under lower ones.
    pub(crate) fn raise_fence(&self) {
        self.fence_above(0);
    }

    /// Asks for a fence above `fence` and above the present one, as [`Self::raise_fence`] does.
    pub(crate) fn fence_above(&self, fence: Fence) {
        self.change(|wanted| {
            wanted.raises += 1;
            wanted.above = wanted.above.max(fence);
            true
        });
    }

    /// Applies `change` and wakes the thread if it returns true.
    fn change(&self, change: impl FnOnce(&mut Wanted) -> bool) {
        let (wanted, signal) = &*self.wanted;
        let mut wanted = wanted.lock().unwrap_or_else(PoisonError::into_inner);
        if change(&mut wanted) {
            wanted.changes += 1;
            signal.notify_one();
        }
    }
}

struct GranterThread {
    upstream: UpstreamControl,
    reading: ClockReading,
    /// Fence of the next grant.
    fence: Fence,
    /// How many of the raises asked for `fence` has had.
    raises: u64,
    /// Whether nothing runs under fences lower than `fence`, and the control loop was told.
    settled: bool,
    clock: Clock,
    /// When the load was last asked for.
    reported: Moment,
    inputs: UnboundedSender<Input>,
    counters: Arc<Counters>,
    wanted: Arc<(Mutex<Wanted>, Condvar)>,
}

impl GranterThread {
    fn run(mut self) {
        let mut seen = 0;
        while !self.inputs.is_closed() {
            let wanted = self.wait(seen);
            seen = wanted.changes;
            self.raise(wanted);
            match self.give(wanted) {
                Ok(older_running) => {
                    self.settle(older_running);
                    self.report_load();
                }
                Err(error) => {
                    log::debug!(reason:% = error; "grant not taken");
                    self.settled = false;
                }
            }
            if !self.settled {
                std::thread::sleep(RETRY_WAIT);
                seen = 0;
            }
        }
    }

    /// Asks for the upstream's load, now and then.
    fn report_load(&mut self) {
        let now = self.clock.now();
        if now.saturating_sub(self.reported) < LOAD_WAIT {
            return;
        }
        self.reported = now;
        // Without an answer, what the daemon measures itself stands.
        if let Ok(load) = self.upstream.load() {
            let _ = self.inputs.send(Input::UpstreamLoad(load));
        }
    }

    /// Raises the fence as often and as far as asked for.
    fn raise(&mut self, wanted: Wanted) {
        if self.raises == wanted.raises {
            return;
        }
        self.fence += wanted.raises - self.raises;
        self.raises = wanted.raises;
        if self.fence <= wanted.above {
            self.fence = above(wanted.above);
        }
        self.settled = false;
    }

    fn settle(&mut self, older_running: u64) {
        if self.settled || older_running > 0 {
            return;
        }
        self.settled = true;
        let _ = self.inputs.send(Input::Fenced(self.fence));
    }

    /// Waits for a change after the change numbered `seen`.
    fn wait(&self, seen: u64) -> Wanted {
        let (wanted, signal) = &*self.wanted;
        let guard = wanted.lock().unwrap_or_else(PoisonError::into_inner);
        if guard.changes != seen {
            return *guard;
        }
        match signal.wait_timeout(guard, IDLE_WAIT) {
            Ok((guard, _)) => *guard,
            Err(poisoned) => *poisoned.into_inner().0,
        }
    }

    /// Gives the wanted grant; how many requests run under lower fences.
    fn give(&mut self, wanted: Wanted) -> Result<u64, ControlError> {
        let fence = self.fence;
        match self.try_give(fence, wanted.until) {
            Ok(GrantOutcome::Taken { reading, older_running }) => {
                self.reading = reading;
                Counters::add(&self.counters.grants);
                let grant = Grant { fence, until: wanted.until };
                let _ = self.inputs.send(Input::Granted(grant));
                Ok(older_running)
            }
            Ok(GrantOutcome::Superseded(fence)) => {
                Counters::add(&self.counters.grant_failures);
                let _ = self.inputs.send(Input::Superseded(fence));
                // The loop ends; nothing is settled under a fence that was not taken.
                Ok(u64::MAX)
            }
            Ok(GrantOutcome::Restarted) => {
                Counters::add(&self.counters.grant_failures);
                self.reading = self.upstream.clock()?.0;
                self.give(wanted)
            }
            Err(error) => {
                Counters::add(&self.counters.grant_failures);
                Err(error)
            }
        }
    }

    fn try_give(&self, fence: Fence, until: Moment) -> Result<GrantOutcome, ControlError> {
        self.upstream.grant(fence, self.reading.ending_no_later(until))
    }
}

/// Fences of a process start this much at random above the least allowed, so that two processes
/// that start at once in one slot do not both take the same fence for their own.
const FENCE_SPREAD: Fence = 1 << 20;

/// A fence above `taken` and above any that its process can reach by raising it.
fn above(taken: Fence) -> Fence {
    taken + Member::FENCE_SPAN + random() % FENCE_SPREAD
}

/// Makes the upstream refuse every fence given before and returns the new one.
///
/// # Errors
/// When the upstream does not answer; what it then holds is unknown.
pub(crate) fn fence_earlier_lives(
    upstream: &UpstreamControl,
) -> Result<(ClockReading, Fence), ControlError> {
    let (mut reading, taken) = upstream.clock()?;
    let mut fence = above(taken);
    loop {
        // A grant that ends at 0 lets nothing run yet.
        match upstream.grant(fence, reading.ending_at(0))? {
            GrantOutcome::Taken { reading, .. } => return Ok((reading, fence)),
            GrantOutcome::Superseded(higher) => fence = above(higher),
            GrantOutcome::Restarted => reading = upstream.clock()?.0,
        }
    }
}

impl std::fmt::Debug for GranterThread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("GranterThread")
    }
}
