//! Cold start of an upstream.

/// Maximum number of concurrent requests while cold.
const COLD_SLOTS: usize = 2;

/// Number of requests that a cold upstream must complete to become warm.
const WARMUP_REQUESTS: u32 = 50;

/// Number of refusals within [`REFUSAL_WINDOW_MS`] that makes a cold upstream collapse, in multiples
/// of its slots.
const COLLAPSE_FACTOR: u32 = 4;

/// Length of the window in which refusals are counted, in milliseconds.
const REFUSAL_WINDOW_MS: u64 = 1_000;

/// Warm-up state of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Warmup {
    slots: u16,
    /// Number of requests to complete before the upstream is warm; 0 if it is warm.
    remaining: u32,
    /// Start of the current window in which refusals are counted, in milliseconds.
    window_start: u64,
    refusals: u32,
}

impl Warmup {
    pub(crate) fn new(slots: u16, cold: bool) -> Self {
        let mut warmup = Self { slots, remaining: 0, window_start: 0, refusals: 0 };
        warmup.set_cold(cold);
        warmup
    }

    pub(crate) fn is_warm(&self) -> bool {
        self.remaining == 0
    }

    pub(crate) fn set_cold(&mut self, cold: bool) {
        self.remaining = if cold { WARMUP_REQUESTS } else { 0 };
        self.refusals = 0;
    }

    /// Current maximum number of concurrent requests.
    pub(crate) fn capacity(&self) -> usize {
        if self.is_warm() { usize::from(self.slots) } else { COLD_SLOTS }
    }

    /// Records a request that took effect.
    pub(crate) fn record_success(&mut self) {
        self.remaining = self.remaining.saturating_sub(1);
    }

    /// Records a refusal for lack of capacity at `now`, in milliseconds; returns whether the upstream
    /// collapses.
    pub(crate) fn record_refusal(&mut self, now: u64) -> bool {
        if self.is_warm() {
            return false;
        }
        if now >= self.window_start + REFUSAL_WINDOW_MS {
            self.window_start = now;
            self.refusals = 0;
        }
        self.refusals += 1;
        if self.refusals < COLLAPSE_FACTOR * u32::from(self.slots) {
            return false;
        }
        self.set_cold(true);
        true
    }
}
