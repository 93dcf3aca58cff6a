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
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::Uplink;
///
/// let mut uplink = Uplink::new(8.0);
/// uplink.begin(850_000);
/// assert_eq!(uplink.wait(), Duration::from_secs(1));
/// uplink.end(850_000);
/// assert_eq!(uplink.wait(), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Uplink {
    /// Bytes a second for large answers; `None` if the link's rate is not known.
    rate: Option<f64>,
    /// Bytes of large answers that have not left yet.
    unsent: u64,
    /// Mean size of a large answer in bytes; 0 before the first.
    mean: f64,
}

/// Weight of a new answer in the mean size: some ten answers.
const SIZE_WEIGHT: f64 = 0.1;

impl Uplink {
    /// A link of `megabits` a second; 0 if its rate is not known, so that it never binds.
    pub fn new(megabits: f64) -> Self {
        let rate = (megabits > 0.0).then_some(megabits * 1e6 / 8.0 * LARGE_PART);
        Self { rate, unsent: 0, mean: 0.0 }
    }

    /// Notes that an answer of `bytes` is to be sent.
    pub fn begin(&mut self, bytes: usize) {
        let weight = if self.mean == 0.0 { 1.0 } else { SIZE_WEIGHT };
        self.mean += (bytes as f64 - self.mean) * weight;
        self.begin_control(bytes);
    }

    /// Notes that `bytes` that are no answer to a caller are to be sent: large answers wait for them.
    pub fn begin_control(&mut self, bytes: usize) {
        self.unsent += bytes as u64;
    }

    /// Notes that `bytes` of it have left or never will.
    pub fn end(&mut self, bytes: usize) {
        self.unsent = self.unsent.saturating_sub(bytes as u64);
    }

    /// Time until all that is to be sent has left.
    pub fn wait(&self) -> Duration {
        self.time_for(self.unsent as f64)
    }

    /// Bytes of large answers that may be in flight at once; `None` if there is no limit.
    pub fn window(&self) -> Option<usize> {
        self.rate.map(|rate| (rate * WINDOW.as_secs_f64()) as usize)
    }

    /// How long an answer of `bytes` fills its part of the window.
    pub fn hold(&self, bytes: usize) -> Duration {
        self.rate.map_or(Duration::ZERO, |_| self.time_for(bytes as f64).max(WINDOW))
    }

    /// Time for which a further large answer will be on its way out, behind the others.
    pub fn expected(&self) -> Duration {
        self.time_for(self.unsent as f64 + self.mean)
    }

    /// Whether a further large answer that takes `work` to make will be late for `objective`; then after
    /// what time it is worth coming back.
    pub fn is_late(&self, now: Moment, work: Duration, objective: Moment) -> Option<Duration> {
        let end = now + work + self.expected();
        // Others come too: sooner than one answer has left, the link is as full as now.
        let pause = || (end - objective).max(self.time_for(self.mean)).min(self.wait());
        // With nothing ahead of it, a refusal would not help it.
        (self.unsent > 0 && end > objective).then(pause)
    }

    fn time_for(&self, bytes: f64) -> Duration {
        self.rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(bytes / rate))
    }
}
