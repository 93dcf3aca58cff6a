//! One upstream: slots, a queue of its own, and its faults.

use std::collections::VecDeque;
use std::time::Duration;

use crate::draws::Draws;

/// Requests that a warm upstream runs at once.
pub(crate) const SLOTS: u16 = 20;
/// Answers after which a cold upstream is warm.
const WARM_ANSWERS: f64 = 2_000.0;
/// Requests that it bears when quite cold.
const COLD_BEARS: f64 = 3.0;
/// It collapses beyond this multiple of what it bears.
const COLLAPSE: f64 = 1.5;
/// How long it stands still then.
const STANDSTILL: Duration = Duration::from_millis(500);

/// An upstream that runs attempts, named by number.
pub(crate) struct Upstream {
    pub(crate) running: usize,
    waiting: VecDeque<usize>,
    /// 0 quite cold, 1 warm.
    warmth: f64,
    stands: Duration,
    pub(crate) collapses: usize,
}

impl Upstream {
    pub(crate) fn new(warm: bool) -> Self {
        let warmth = if warm { 1.0 } else { 0.0 };
        Self { running: 0, waiting: VecDeque::new(), warmth, stands: Duration::ZERO, collapses: 0 }
    }

    pub(crate) fn chill(&mut self) {
        self.warmth = 0.0;
    }

    /// Takes an attempt. Returns its service time if it starts now.
    pub(crate) fn take(
        &mut self,
        now: Duration,
        attempt: usize,
        draws: &mut Draws,
    ) -> Option<Duration> {
        self.strain(now);
        if self.running >= usize::from(SLOTS) {
            self.waiting.push_back(attempt);
            return None;
        }
        Some(self.start(now, draws))
    }

    /// Ends an attempt. Returns the one that starts in its place and its service time.
    pub(crate) fn end(&mut self, now: Duration, draws: &mut Draws) -> Option<(usize, Duration)> {
        self.running -= 1;
        if now >= self.stands {
            self.warmth = (self.warmth + 1.0 / WARM_ANSWERS).min(1.0);
        }
        let next = self.waiting.pop_front()?;
        Some((next, self.start(now, draws)))
    }

    fn start(&mut self, now: Duration, draws: &mut Draws) -> Duration {
        self.running += 1;
        draws.service() + self.stands.saturating_sub(now)
    }

    fn strain(&mut self, now: Duration) {
        if self.warmth >= 1.0 || now < self.stands {
            return;
        }
        let bears = COLD_BEARS + (f64::from(SLOTS) - COLD_BEARS) * self.warmth;
        if (self.running + 1) as f64 > bears * COLLAPSE {
            self.warmth = 0.0;
            self.stands = now + STANDSTILL;
            self.collapses += 1;
        }
    }
}
