//! Keeps the upstream's grant in step with the lease.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use rattanarch_types::Fence;
use rattanarch_types::Moment;
use tokio::sync::mpsc::UnboundedSender;

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

/// What the control loop wants the upstream to have taken.
#[derive(Clone, Copy, Debug, Default)]
struct Wanted {
    /// End of the lease; the grant ends no later.
    until: Moment,
    /// Counts the fences asked for: one more than the last makes the upstream refuse the last.
    fences: u64,
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
            first,
            inputs,
            counters,
            wanted: Arc::clone(&wanted),
        };
        std::thread::Builder::new().name("granter".to_owned()).spawn(move || thread.run())?;
        Ok(Self { wanted })
    }

    /// Asks that the grant last until the lease's end.
    pub(crate) fn extend(&self, until: Moment) {
        self.change(|wanted| wanted.until = wanted.until.max(until));
    }

    /// Asks for a higher fence; [`Input::Fenced`] tells when nothing runs under lower ones.
    pub(crate) fn raise_fence(&self) {
        self.change(|wanted| wanted.fences += 1);
    }

    fn change(&self, change: impl FnOnce(&mut Wanted)) {
        let (wanted, signal) = &*self.wanted;
        let mut wanted = wanted.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut wanted);
        wanted.changes += 1;
        signal.notify_one();
    }
}

struct GranterThread {
    upstream: UpstreamControl,
    reading: ClockReading,
    first: Fence,
    inputs: UnboundedSender<Input>,
    counters: Arc<Counters>,
    wanted: Arc<(Mutex<Wanted>, Condvar)>,
}

impl GranterThread {
    fn run(mut self) {
        let (mut seen, mut settled) = (0, 0);
        while !self.inputs.is_closed() {
            let wanted = self.wait(seen);
            seen = wanted.changes;
            match self.give(wanted) {
                Ok(0) if settled < wanted.fences => {
                    settled = wanted.fences;
                    let _ = self.inputs.send(Input::Fenced(self.first + settled));
                }
                Ok(0) => {}
                Ok(_) => {
                    // Requests still run under a lower fence: look again soon.
                    seen = 0;
                    std::thread::sleep(RETRY_WAIT);
                }
                Err(error) => {
                    log::debug!(reason:% = error; "grant not taken");
                    let _ = self.inputs.send(Input::UpstreamSilent);
                    seen = 0;
                    std::thread::sleep(RETRY_WAIT);
                }
            }
        }
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
        let fence = self.first + wanted.fences;
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
                Ok(0)
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

/// Bits of a fence that are drawn at random, so that two processes that start at once in one slot
/// do not both take the same fence for their own; the bits above count the lives in a slot.
const RANDOM_BITS: u32 = 20;

/// A fence above `taken`, and above any that its process can reach by raising it.
fn above(taken: Fence) -> Fence {
    let life = (taken >> RANDOM_BITS) + 1;
    (life << RANDOM_BITS) | (random() % (1 << RANDOM_BITS))
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
