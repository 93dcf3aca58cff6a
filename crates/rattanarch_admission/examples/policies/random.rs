//! Random numbers.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use rand_core::SeedableRng;

/// Random number generator of one simulation.
pub(crate) struct RandomSource(ChaCha8Rng);

impl RandomSource {
    pub(crate) fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    pub(crate) fn word(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Uniform number from 0 to below 1.
    pub(crate) fn uniform(&mut self) -> f64 {
        (self.word() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Uniform integer below `end`.
    pub(crate) fn below(&mut self, end: usize) -> usize {
        (self.uniform() * end as f64) as usize
    }

    /// Exponentially distributed time with this mean.
    pub(crate) fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.uniform()).ln())
    }

    /// Service time of a warm upstream without faults: 2 ms and an exponentially distributed part with a mean of 2 ms.
    pub(crate) fn service_time(&mut self) -> Duration {
        let half = Duration::from_millis(2);
        half + self.exponential(half)
    }
}
