//! How many configurations a daemon sends at a time.

use std::time::Duration;

use rattanarch_types::Moment;

/// Longest time for which answers that are on their way fill the link before a further large one is put off: two
/// configurations of 250 kB on 11 Mbit/s. Those that are put off find peers that have them by then, twice as many
/// with each round, while thirty at a time would all be late.
const LONGEST: Duration = Duration::from_millis(400);

/// Smallest answer that can be put off, in bytes: a few packets more delay no one.
const LARGE: usize = 32 << 10;

/// Large answers of state on their way out over one link.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkPacer {
    /// When what was sent so far has left the link.
    free: Moment,
}

impl LinkPacer {
    /// Whether an answer of `bytes` is sent at `now` over a link of `megabits` a second; 0 if its rate is not known,
    /// so that it never binds. One that finds the link empty is always sent.
    pub fn admit(&mut self, now: Moment, bytes: usize, megabits: f64) -> bool {
        if bytes < LARGE || megabits <= 0.0 {
            return true;
        }
        let end = now.max(self.free) + Duration::from_secs_f64(bytes as f64 * 8e-6 / megabits);
        let sends = self.free <= now || end <= now + LONGEST;
        if sends {
            self.free = end;
        }
        sends
    }
}
