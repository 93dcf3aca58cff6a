//! Deterministic random numbers.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Random number generator: hashes a counter with the node's seed.
#[derive(Debug)]
pub(crate) struct Rng {
    seed: u64,
    counter: u64,
}

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Self { seed, counter: 0 }
    }

    /// A random number other than 0.
    pub(crate) fn nonzero(&mut self) -> u64 {
        self.counter += 1;
        xxh3_64_with_seed(&self.counter.to_le_bytes(), self.seed).max(1)
    }

    /// A random duration from half of `max` up to `max`.
    pub(crate) fn jitter(&mut self, max: Duration) -> Duration {
        let half = max.as_nanos() as u64 / 2;
        Duration::from_nanos(half + self.nonzero() % half.max(1))
    }
}
