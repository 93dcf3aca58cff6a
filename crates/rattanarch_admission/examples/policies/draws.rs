//! Random numbers.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use rand_core::SeedableRng;

/// Source of the random numbers of one run.
pub(crate) struct Draws(ChaCha8Rng);

impl Draws {
    pub(crate) fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    pub(crate) fn word(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Below 1.
    pub(crate) fn part(&mut self) -> f64 {
        (self.word() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(crate) fn below(&mut self, end: usize) -> usize {
        (self.part() * end as f64) as usize
    }

    /// Exponential with this mean.
    pub(crate) fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.part()).ln())
    }

    /// Service time of a warm and unhindered upstream: 2 ms and an exponential part of 2 ms.
    pub(crate) fn service(&mut self) -> Duration {
        let half = Duration::from_millis(2);
        half + self.exponential(half)
    }
}
