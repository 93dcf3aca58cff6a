//! Backlog of large responses on the link of a machine.

use std::time::Duration;

use rattanarch_types::Moment;

/// Ratio of the link rate that large responses may use. The rest is for small responses, requests, leases and
/// acknowledgements, which would otherwise wait behind them.
const LARGE_RESPONSE_RATIO: f64 = 0.85;

/// Time for which large responses in flight occupy the link. Small responses wait behind them for this long at most.
/// With less, the link would idle whenever a process that gets a tenth of a core is late.
const SEND_WINDOW: Duration = Duration::from_millis(100);

/// Large responses that are still to be sent over one link.
///
/// For machines whose slots produce downloads faster than the link carries them. A slot is free again as
/// soon as its response is complete. So without a limit for the link, its queue grows until no new
/// connection to the machine can be opened. Requests whose response could not be sent in time are refused
/// before they run.
///
/// What has been sent is computed from the clock when needed, not recorded as it happens: a process that gets a
/// tenth of a core would record it late.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::UplinkBacklog;
///
/// let mut backlog = UplinkBacklog::new(8.0);
/// let now = Duration::from_secs(5);
/// backlog.enqueue(850_000);
/// assert_eq!(backlog.time_to_clear(now), Duration::from_secs(1));
/// backlog.start_sending(now, 850_000);
/// assert_eq!(backlog.time_to_clear(now + Duration::from_millis(400)), Duration::from_millis(600));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct UplinkBacklog {
    /// Bytes a second for large responses; `None` if the link rate is not known.
    rate: Option<f64>,
    /// Bytes of large responses that are queued: none of them is being sent.
    queued: u64,
    /// When the link will have carried everything that is being sent. Never decreases.
    busy_until: Moment,
    /// Mean size of a large response in bytes; 0 before the first.
    mean_size: f64,
}

/// EWMA weight of a new response in the mean size, which averages over some ten responses.
const SIZE_WEIGHT: f64 = 0.1;

impl UplinkBacklog {
    /// A link with a rate of `megabits_per_s`; 0 if its rate is not known, in which case nothing is limited.
    pub fn new(megabits_per_s: f64) -> Self {
        let rate =
            (megabits_per_s > 0.0).then_some(megabits_per_s * 1e6 / 8.0 * LARGE_RESPONSE_RATIO);
        Self { rate, queued: 0, busy_until: Moment::ZERO, mean_size: 0.0 }
    }

    /// Queues a large response of `bytes`.
    pub fn enqueue(&mut self, bytes: usize) {
        let weight = if self.mean_size == 0.0 { 1.0 } else { SIZE_WEIGHT };
        self.mean_size += (bytes as f64 - self.mean_size) * weight;
        self.queued += bytes as u64;
    }

    /// Starts to send a queued response of `bytes`, behind those that are being sent.
    pub fn start_sending(&mut self, now: Moment, bytes: usize) {
        self.cancel(bytes);
        self.send_immediately(now, bytes);
    }

    /// Counts `bytes` that are sent without being queued, and so before all queued responses.
    pub fn send_immediately(&mut self, now: Moment, bytes: usize) {
        self.busy_until = self.busy_until.max(now) + self.time_for(bytes as f64);
    }

    /// Removes a queued response of `bytes` that will not be sent.
    pub fn cancel(&mut self, bytes: usize) {
        self.queued = self.queued.saturating_sub(bytes as u64);
    }

    /// Time until everything that is queued or being sent has left.
    pub fn time_to_clear(&self, now: Moment) -> Duration {
        self.busy_until.saturating_sub(now) + self.time_for(self.queued as f64)
    }

    /// Time until a response of `bytes` fits into the send window behind those that are being sent. A response larger
    /// than the window is sent alone.
    pub fn send_delay(&self, now: Moment, bytes: usize) -> Duration {
        let own_time = self.time_for(bytes as f64).min(SEND_WINDOW);
        (self.busy_until.saturating_sub(now) + own_time).saturating_sub(SEND_WINDOW)
    }

    /// Expected time until one more large response has been sent, behind the others.
    pub fn expected_time(&self, now: Moment) -> Duration {
        self.time_to_clear(now) + self.time_for(self.mean_size)
    }

    /// Checks whether one more large response, which takes `work` to produce, would miss `objective`. If so,
    /// returns the time after which a retry may succeed.
    pub fn retry_after(&self, now: Moment, work: Duration, objective: Moment) -> Option<Duration> {
        let (wait, end) = (self.time_to_clear(now), now + work + self.expected_time(now));
        // Other requests arrive meanwhile: until one response has been sent, the link is as busy as now.
        let delay = || (end - objective).min(wait).max(self.time_for(self.mean_size));
        // With an empty backlog, refusing the request would not make it faster.
        (!wait.is_zero() && end > objective).then(delay)
    }

    fn time_for(&self, bytes: f64) -> Duration {
        self.rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(bytes / rate))
    }
}
