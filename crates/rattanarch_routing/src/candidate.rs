//! An instance that could serve a request.

use std::time::Duration;

use crate::ResponseSize;

/// What a daemon knows of one instance of a service without keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether it is in the sender's data centre.
    pub local: bool,
    /// Requests that it runs concurrently; at least 1.
    pub slots: u32,
    /// Requests running and queued there, as far as the sender knows.
    pub in_flight: u32,
    /// Whether `in_flight` is recent enough to compare candidates by it.
    pub recent_load: bool,
    /// Mean service time there; zero if nothing is known.
    pub mean_time: Duration,
    /// Part of the last requests sent there that failed, from 0 to 1.
    pub failure_ratio: f64,
    /// Time that a large response would take to leave the instance's machine.
    pub send_time: Duration,
    /// How late the instance's daemon runs tasks that are due.
    pub lag: Duration,
    /// Mean time between two requests at the limit that it names; zero without a limit.
    pub limit_interval: Duration,
    /// Whether it is cold or expected to refuse requests for another reason.
    pub cold: bool,
}

impl Candidate {
    /// An instance of which only the number of slots is known.
    pub fn unknown(local: bool, slots: u32) -> Self {
        Self {
            local,
            slots,
            in_flight: 0,
            recent_load: false,
            mean_time: Duration::ZERO,
            failure_ratio: 0.0,
            send_time: Duration::ZERO,
            lag: Duration::ZERO,
            limit_interval: Duration::ZERO,
            cold: false,
        }
    }

    /// Expected latency in seconds of a request sent now: its own service time, its part of the work
    /// queued ahead of it, and delays of the daemon and the link. `default_mean` stands in for an
    /// unknown mean service time.
    pub(crate) fn expected_latency(&self, default_mean: Duration, size: ResponseSize) -> f64 {
        let mean =
            if self.mean_time.is_zero() { default_mean } else { self.mean_time }.as_secs_f64();
        let load = (f64::from(self.in_flight) + 1.0) / self.concurrency(mean);
        // Concurrent requests slow down a nearly full upstream before its queue grows.
        let queued = (load - 1.0).max(0.0) + load.min(1.0).powi(2) * FULL_SLOWDOWN_RATIO;
        let send_time = match size {
            ResponseSize::Small => Duration::ZERO,
            ResponseSize::Large => self.send_time,
        };
        mean * (1.0 + queued) + (send_time + self.lag * DAEMON_WAITS).as_secs_f64()
    }
}

impl Candidate {
    /// Requests that run at once under full load, by its slots and by the limit that it names; `mean` is the mean
    /// service time in seconds.
    fn concurrency(&self, mean: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        if self.limit_interval.is_zero() {
            return slots;
        }
        slots.min(mean / self.limit_interval.as_secs_f64())
    }
}

/// Number of times that a request waits for the instance's daemon to be scheduled: to read its head, to give it a
/// slot, to read the upstream's response, and to write the response.
const DAEMON_WAITS: u32 = 4;

/// Additional service time, as a part of the mean, on an upstream whose slots are all taken: enough to spread load
/// before the slots run out.
const FULL_SLOWDOWN_RATIO: f64 = 0.5;
