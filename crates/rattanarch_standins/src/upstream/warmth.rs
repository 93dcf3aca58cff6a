//! The cold start of an upstream.

/// Concurrent requests that a cold upstream bears.
const COLD_SLOTS: usize = 2;

/// Requests that a cold upstream must end before it is warm.
const WARMING_REQUESTS: u32 = 50;

/// Refusals of a cold upstream within [`WINDOW_MS`] that make it fall over, in multiples of its
/// slots.
const COLLAPSE_FACTOR: u32 = 4;

/// Length of the window that refusals are counted in, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// How warm an upstream is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Warmth {
    slots: u16,
    /// Requests still to be ended before it is warm; 0 when it is.
    remaining: u32,
    /// Start of the current window of refusals, in milliseconds.
    window: u64,
    refusals: u32,
}

impl Warmth {
    pub(crate) fn new(slots: u16, cold: bool) -> Self {
        let mut warmth = Self { slots, remaining: 0, window: 0, refusals: 0 };
        warmth.set_cold(cold);
        warmth
    }

    pub(crate) fn is_warm(&self) -> bool {
        self.remaining == 0
    }

    pub(crate) fn set_cold(&mut self, cold: bool) {
        self.remaining = if cold { WARMING_REQUESTS } else { 0 };
        self.refusals = 0;
    }

    /// Concurrent requests that it bears now.
    pub(crate) fn room(&self) -> usize {
        if self.is_warm() { usize::from(self.slots) } else { COLD_SLOTS }
    }

    /// A request has ended well.
    pub(crate) fn succeed(&mut self) {
        self.remaining = self.remaining.saturating_sub(1);
    }

    /// A request was refused for want of room at `now`; whether the upstream falls over by it.
    pub(crate) fn refuse(&mut self, now: u64) -> bool {
        if self.is_warm() {
            return false;
        }
        if now >= self.window + WINDOW_MS {
            self.window = now;
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
