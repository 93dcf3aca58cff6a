//! Whether a body or a reader makes progress.

use std::time::Duration;

use rattanarch_types::Moment;

/// Time in which `MIN_BYTES` have to be transferred. It is longer than the deadline of any known request and than the
/// usual interruptions of a link.
pub const PROGRESS_TIME: Duration = Duration::from_secs(10);

/// Fewest bytes of a body in [`PROGRESS_TIME`], unless it ends: no known link is that slow.
const MIN_BYTES: usize = 1 << 10;

/// Watches the transfer of one body.
///
/// Designed for callers that send a byte now and then, so that a time limit between two bytes never applies.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::{PROGRESS_TIME, ProgressMeter};
///
/// let start = Duration::from_secs(5);
/// let mut meter = ProgressMeter::new(start);
/// assert!(!meter.transferred(start + Duration::from_secs(9), 1));
/// assert_eq!(meter.due(), start + PROGRESS_TIME);
/// assert!(meter.transferred(start + Duration::from_secs(9), 2_000));
/// assert_eq!(meter.due(), start + Duration::from_secs(9) + PROGRESS_TIME);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ProgressMeter {
    since: Moment,
    bytes: usize,
}

impl ProgressMeter {
    /// Starts at `now`.
    pub fn new(now: Moment) -> Self {
        Self { since: now, bytes: 0 }
    }

    /// Counts `bytes`. Returns whether they complete a step of progress.
    pub fn transferred(&mut self, now: Moment, bytes: usize) -> bool {
        self.bytes += bytes;
        let step = self.bytes >= MIN_BYTES;
        if step {
            *self = Self::new(now);
        }
        step
    }

    /// When the transfer counts as given up, unless it progresses.
    pub fn due(&self) -> Moment {
        self.since + PROGRESS_TIME
    }
}
