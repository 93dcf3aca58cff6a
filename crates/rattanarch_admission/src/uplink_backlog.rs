//! Room on the link of a machine for large answers.

use std::time::Duration;

use rattanarch_types::Moment;

/// Part of the link that large answers may fill. The rest is for small answers, requests, leases and
/// acknowledgements, which would otherwise wait behind them.
const LARGE_PART: f64 = 0.85;

/// Time that large answers in flight fill the link for. Small answers wait behind them for this long at
/// most; shorter, and the link would idle whenever a process of a tenth of a core is late.
const WINDOW: Duration = Duration::from_millis(100);

/// Large answers on their way out over one link.
///
/// Answers the load of downloads on machines whose link bears less than their slots produce: slots free
/// up as soon as an answer is made, so that without a limit of its own the link's queue grows until
/// connections to the machine can't be opened any more. What can't be sent in time is refused
/// before it runs.
///
/// What has left is told by the clock when asked, not noted: a process of a tenth of a core would note it late.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::UplinkBacklog;
///
/// let mut uplink = UplinkBacklog::new(8.0);
/// let now = Duration::from_secs(5);
/// uplink.enqueue(850_000);
/// assert_eq!(uplink.time_to_clear(now), Duration::from_secs(1));
/// uplink.start_sending(now, 850_000);
/// assert_eq!(uplink.time_to_clear(now + Duration::from_millis(400)), Duration::from_millis(600));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct UplinkBacklog {
    /// Bytes a second for large answers; `None` if the link's rate is not known.
    rate: Option<f64>,
    /// Bytes of large answers whose turn has not come: none of them has left.
    waiting: u64,
    /// When the link will have carried the answers whose turn has come. Never moves back.
    clear: Moment,
    /// Mean size of a large answer in bytes; 0 before the first.
    mean: f64,
}

/// Weight of a new answer in the mean size: some ten answers.
const SIZE_WEIGHT: f64 = 0.1;

impl UplinkBacklog {
    /// A link of `megabits` a second; 0 if its rate is not known, so that it never binds.
    pub fn new(megabits: f64) -> Self {
        let rate = (megabits > 0.0).then_some(megabits * 1e6 / 8.0 * LARGE_PART);
        Self { rate, waiting: 0, clear: Moment::ZERO, mean: 0.0 }
    }

    /// Notes that an answer of `bytes` is to be sent.
    pub fn enqueue(&mut self, bytes: usize) {
        let weight = if self.mean == 0.0 { 1.0 } else { SIZE_WEIGHT };
        self.mean += (bytes as f64 - self.mean) * weight;
        self.waiting += bytes as u64;
    }

    /// Notes that the turn of an answer of `bytes` has come: it leaves behind those before it.
    pub fn start_sending(&mut self, now: Moment, bytes: usize) {
        self.cancel(bytes);
        self.send_immediately(now, bytes);
    }

    /// Notes that `bytes` are sent at once: large answers whose turn has not come leave behind them.
    pub fn send_immediately(&mut self, now: Moment, bytes: usize) {
        self.clear = self.clear.max(now) + self.time_for(bytes as f64);
    }

    /// Notes that an answer of `bytes` whose turn has not come won't be sent.
    pub fn cancel(&mut self, bytes: usize) {
        self.waiting = self.waiting.saturating_sub(bytes as u64);
    }

    /// Time until all that is to be sent has left.
    pub fn time_to_clear(&self, now: Moment) -> Duration {
        self.clear.saturating_sub(now) + self.time_for(self.waiting as f64)
    }

    /// Time until an answer of `bytes` fits into the window behind those that are leaving; a larger one goes alone.
    pub fn send_delay(&self, now: Moment, bytes: usize) -> Duration {
        let own = self.time_for(bytes as f64).min(WINDOW);
        (self.clear.saturating_sub(now) + own).saturating_sub(WINDOW)
    }

    /// Time for which a further large answer will be on its way out, behind the others.
    pub fn expected_time(&self, now: Moment) -> Duration {
        self.time_to_clear(now) + self.time_for(self.mean)
    }

    /// Whether a further large answer that takes `work` to make will be late for `objective`; then after
    /// what time it is worth coming back.
    pub fn retry_after(&self, now: Moment, work: Duration, objective: Moment) -> Option<Duration> {
        let (wait, end) = (self.time_to_clear(now), now + work + self.expected_time(now));
        // Others come too: sooner than one answer has left, the link is as full as now.
        let pause = || (end - objective).min(wait).max(self.time_for(self.mean));
        // With nothing ahead of it, a refusal would not help it.
        (!wait.is_zero() && end > objective).then(pause)
    }

    fn time_for(&self, bytes: f64) -> Duration {
        self.rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(bytes / rate))
    }
}
