//! Fewer runs while the services that they call are overloaded.

use std::time::Duration;

use rattanarch_types::Moment;

/// Interval in which calls are counted: long enough for some ten calls on a busy day, and for those that
/// the last change of the share has let through to end.
const INTERVAL: Duration = Duration::from_millis(250);

/// Part of the calls of an interval that may be refused before runs are held back: one in twenty is what
/// bursts cost a service that bears its load.
const TOLERATED: f64 = 0.15;

/// Calls in an interval below which it tells nothing.
const LEAST_CALLS: u32 = 5;

/// Part of the refused calls by which the share falls: half, since each run in two or so makes another call.
const FALL: f64 = 0.5;

/// By how much the share rises in an interval without refusals: back from its least in some 3 s.
const RISE: f64 = 0.15;

/// Least share: runs without calls go on, and what callees bear is asked again and again.
const LEAST_SHARE: f64 = 0.6;

/// Share of an upstream's slots that is used while services that its runs call are overloaded.
///
/// Answers the load of a heavy day on a service whose runs call another one that can't bear all their calls.
/// A run of two calls fails if either is refused; both have then cost their services work, and the caller
/// comes back for all of it. Fewer runs at once, whose calls are served, end well more often, and callers of
/// the rest are refused before they cost anything.
#[derive(Debug)]
pub(crate) struct CallBrake {
    share: f64,
    since: Moment,
    calls: u32,
    refused: u32,
}

impl Default for CallBrake {
    fn default() -> Self {
        Self { share: 1.0, since: Moment::ZERO, calls: 0, refused: 0 }
    }
}

impl CallBrake {
    /// Notes the end of a call, and whether the service called had no room for it.
    pub(crate) fn note(&mut self, refused: bool) {
        self.calls += 1;
        self.refused += u32::from(refused);
    }

    /// The share of the slots that is to be used, in 0.4 to 1.
    pub(crate) fn share(&mut self, now: Moment) -> f64 {
        let passed = now.saturating_sub(self.since);
        if passed < INTERVAL {
            return self.share;
        }
        let refused = f64::from(self.refused) / f64::from(self.calls.max(1));
        if self.calls >= LEAST_CALLS && refused > TOLERATED {
            self.share = (self.share * (1.0 - refused * FALL)).max(LEAST_SHARE);
        } else {
            let intervals = passed.as_secs_f64() / INTERVAL.as_secs_f64();
            self.share = (self.share + RISE * intervals).min(1.0);
        }
        (self.since, self.calls, self.refused) = (now, 0, 0);
        self.share
    }
}
