//! An instance that could serve a request.

use std::time::Duration;

use crate::ResponseSize;

/// What a daemon knows of one instance of a service without keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether it stands in the sender's data centre.
    pub local: bool,
    /// Requests that it runs at once; at least 1.
    pub slots: u32,
    /// Requests running and waiting there, as far as the sender knows.
    pub in_flight: u32,
    /// Whether `in_flight` is recent, and so tells one candidate from another.
    pub recent_load: bool,
    /// Mean service time there; zero if nothing is known.
    pub mean_time: Duration,
    /// Part of the last requests sent there that failed, 0 to 1.
    pub failure_ratio: f64,
    /// Time for which a large answer would be on its way out of its machine.
    pub send_time: Duration,
    /// How late the daemon beside it runs what is due.
    pub lag: Duration,
    /// Whether it is cold, or expected to refuse for some other reason.
    pub cold: bool,
}

impl Candidate {
    /// Expected time until a request sent now is answered: its own service time and its share of
    /// the work ahead of it.
    pub(crate) fn expected(&self, usual: Duration, size: ResponseSize) -> f64 {
        let mean = if self.mean_time.is_zero() { usual } else { self.mean_time }.as_secs_f64();
        let slots = f64::from(self.slots.max(1));
        let load = (f64::from(self.in_flight) + 1.0) / slots;
        // Neighbours slow a nearly full upstream before its queue grows.
        let ahead = (load - 1.0).max(0.0) + load.min(1.0).powi(2) * FULL_SLOWDOWN;
        let sending = match size {
            ResponseSize::Small => Duration::ZERO,
            ResponseSize::Large => self.send_time,
        };
        mean * (1.0 + ahead) + (sending + self.lag * PASSES).as_secs_f64()
    }
}

/// Times that a request waits for the daemon beside the upstream: its head, its slot, the upstream's answer and
/// the room to write it.
const PASSES: u32 = 4;

/// How much longer work is expected to take on an upstream whose slots are all taken, as a part of
/// its mean: enough to spread work before the slots run out.
const FULL_SLOWDOWN: f64 = 0.5;
