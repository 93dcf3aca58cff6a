//! How much one daemon may send to a service more than once.

use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_types::Moment;

/// Bounds on the repeats of all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each request, over a window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Repeats in a window beyond the ratio, of all daemons together.
    pub slack: u32,
}

/// Part of the ratio that repeats of requests that may have run take at most: a repeated run repeats
/// its own calls at other services, where they are charged and can't be refused. With two calls a run, and twice
/// as many requests to the calling service as to the called one, a quarter leaves a tenth of the called one's
/// bound.
const RUN_RATIO: f64 = 0.25;

/// Part of the ratio that all repeats take at most; the rest covers repeats not known as such.
const USED_RATIO: f64 = 0.75;

/// Part of the slack that is used.
const USED_SLACK: f64 = 0.5;

/// What became of the request that is to be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryKind {
    /// An upstream has refused it unrun.
    Refused,
    /// It may have run.
    MayHaveRun,
}

/// Intervals that a window is counted in.
const STEPS: u32 = 10;

/// One daemon's share of the bounds for one service: its part of the slack, and the ratio of its
/// own requests. Shares of any number of daemons add up to less than the whole.
#[derive(Clone, Debug)]
pub struct RetryShare {
    bounds: RetryLimits,
    /// Requests and repeats by interval, the newest last; calls of repeated runs are repeats.
    steps: VecDeque<(u64, u32, u32)>,
}

impl RetryShare {
    /// A share of `bounds` with nothing spent.
    pub fn new(bounds: RetryLimits) -> Self {
        Self { bounds, steps: VecDeque::new() }
    }

    /// Notes a request's first send.
    pub fn count_request(&mut self, now: Moment) {
        self.step(now).1 += 1;
    }

    /// Notes a call that a repeated run makes: it counts as a repeat, whatever is left of the share.
    pub fn count_retry(&mut self, now: Moment) {
        self.step(now).2 += 1;
    }

    /// Takes leave for one repeat; `daemons` is how many share the bounds.
    #[must_use]
    pub fn try_spend(&mut self, now: Moment, daemons: usize, repeat: RetryKind) -> bool {
        let part = match repeat {
            RetryKind::Refused => USED_RATIO,
            RetryKind::MayHaveRun => RUN_RATIO,
        };
        self.step(now);
        let requests: u32 = self.steps.iter().map(|step| step.1).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.2).sum();
        let slack = f64::from(self.bounds.slack) * USED_SLACK / daemons.max(1) as f64;
        let allowed = f64::from(requests) * self.bounds.ratio * part + slack;
        let granted = f64::from(repeats) + 1.0 <= allowed;
        if granted {
            self.step(now).2 += 1;
        }
        granted
    }

    /// The interval of `now`, after forgetting those that have left the window.
    fn step(&mut self, now: Moment) -> &mut (u64, u32, u32) {
        let length = (self.bounds.window / STEPS).max(Duration::from_millis(1));
        let index = (now.as_nanos() / length.as_nanos()) as u64;
        while self.steps.front().is_some_and(|step| step.0 + u64::from(STEPS) <= index) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.0 < index) {
            self.steps.push_back((index, 0, 0));
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
