//! Numbers drawn from a node's seed.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Deterministic draws: the hash of a counter under the node's seed.
#[derive(Debug)]
pub(crate) struct Rng {
    seed: u64,
    count: u64,
}

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Self { seed, count: 0 }
    }

    /// A number that is never 0.
    pub(crate) fn nonzero(&mut self) -> u64 {
        self.count += 1;
        xxh3_64_with_seed(&self.count.to_le_bytes(), self.seed).max(1)
    }

    /// A duration from half of `span` up to `span`.
    pub(crate) fn jitter(&mut self, span: Duration) -> Duration {
        let half = span.as_nanos() as u64 / 2;
        Duration::from_nanos(half + self.nonzero() % half.max(1))
    }
}
