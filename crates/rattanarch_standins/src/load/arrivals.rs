//! Seeded request arrivals of a load run.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use rand_core::SeedableRng;

use crate::load::Firm;
use crate::load::RequestKind;

/// Percentage of requests that go only to the hot keys. The others are spread over all keys, hot ones included.
const HOT_PERCENT: u64 = 20;

/// Number of hot keys.
const HOT_KEY_COUNT: u64 = 10;

/// A request that the load generator will send.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Number of the request, starting at 0.
    pub number: u64,
    /// Scheduled send time, relative to the start of the run.
    pub due: Duration,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Key of the request.
    pub key: String,
    /// Length of the requested file, in bytes; `None` if the request is not for a file.
    pub file_bytes: Option<u64>,
    /// Random number for choices at sending: the target and the idempotency key.
    pub draw: u64,
}

/// Endless sequence of requests of the callers of one firm, determined by the seed.
#[derive(Debug)]
pub struct Arrivals {
    rng: ChaCha8Rng,
    firm: Firm,
    rate: f64,
    number: u64,
    due: Duration,
}

impl Arrivals {
    /// Creates arrivals with an average rate of `rate` requests per second. A rate
    /// below one per day is raised to it, so that intervals stay finite.
    pub fn new(firm: Firm, rate: f64, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let rate = rate.max(1.0 / 86_400.0);
        Self { rng, firm, rate, number: 0, due: Duration::ZERO }
    }

    /// Returns a random number less than `limit`.
    fn random_below(&mut self, limit: u64) -> u64 {
        let product = u128::from(self.rng.next_u64()) * u128::from(limit);
        (product >> u64::BITS) as u64
    }

    /// Returns an exponentially distributed time between two requests, as for independent callers.
    fn interarrival_time(&mut self) -> Duration {
        let uniform = (self.random_below(1 << 53) + 1) as f64 / (1_u64 << 53) as f64;
        Duration::from_secs_f64(-uniform.ln() / self.rate)
    }

    fn kind(&mut self) -> RequestKind {
        let mix = self.firm.mix();
        let mut draw = self.random_below(mix.iter().map(|(_, share)| share).sum());
        for &(kind, share) in mix {
            if draw < share {
                return kind;
            }
            draw -= share;
        }
        mix[0].0
    }

    fn key(&mut self, kind: RequestKind) -> String {
        let hot = self.random_below(100) < HOT_PERCENT;
        let count = if hot { HOT_KEY_COUNT } else { kind.key_count() };
        format!("{}-{}", kind.key_prefix(), self.random_below(count))
    }

    fn draw_file_bytes(&mut self, kind: RequestKind) -> Option<u64> {
        let (min, max) = kind.file_bytes()?;
        Some(min + self.random_below(max - min))
    }
}

impl Iterator for Arrivals {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        let interval = self.interarrival_time();
        self.due += interval;
        let kind = self.kind();
        let key = self.key(kind);
        let file_bytes = self.draw_file_bytes(kind);
        let draw = self.rng.next_u64();
        let number = self.number;
        self.number += 1;
        Some(PlannedRequest { number, due: self.due, kind, key, file_bytes, draw })
    }
}
