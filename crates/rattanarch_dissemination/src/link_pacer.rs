//! Pacing of large state responses on the outgoing link.

use std::time::Duration;

use rattanarch_types::Moment;

/// Longest time that pending responses may occupy the link; beyond it a further large response is deferred. It fits
/// two configurations of 250 kB at 11 Mbit/s. Deferred peers then fetch from others that have got the state meanwhile,
/// whose number doubles with each round; thirty transfers at a time would all be late.
const MAX_BACKLOG: Duration = Duration::from_millis(400);

/// Size in bytes from which a response can be deferred; smaller ones take a few packets and delay no one.
const LARGE_RESPONSE_BYTES: usize = 32 << 10;

/// Limits the large state responses that are sent over one link at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkPacer {
    /// When the responses sent so far will have left the link.
    idle_at: Moment,
}

impl LinkPacer {
    /// Whether to send a response of `bytes` now over a link of `megabits_per_s`; a rate of 0 means unknown and
    /// never defers a response. A response that finds the link idle is always sent.
    pub fn admit(&mut self, now: Moment, bytes: usize, megabits_per_s: f64) -> bool {
        if bytes < LARGE_RESPONSE_BYTES || megabits_per_s <= 0.0 {
            return true;
        }
        let end =
            now.max(self.idle_at) + Duration::from_secs_f64(bytes as f64 * 8e-6 / megabits_per_s);
        let admitted = self.idle_at <= now || end <= now + MAX_BACKLOG;
        if admitted {
            self.idle_at = end;
        }
        admitted
    }
}
