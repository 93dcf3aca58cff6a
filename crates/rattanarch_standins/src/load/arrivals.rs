//! The requests of a run, by its seed.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use rand_core::SeedableRng;

use crate::load::Firm;
use crate::load::RequestKind;

/// Part of the requests that goes to the few hottest keys, in a hundred.
const HOT_SHARE: u64 = 20;

/// Number of the hottest keys.
const HOT_KEYS: u64 = 10;

/// A request that is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Number of the request, from 0.
    pub number: u64,
    /// When it is due, from the start of the run.
    pub due: Duration,
    /// Its kind.
    pub kind: RequestKind,
    /// Its key.
    pub key: String,
    /// Length of the file that it asks for, in bytes.
    pub file_bytes: Option<u64>,
    /// Feeds the choice of a target.
    pub draw: u64,
}

/// All requests of one firm's callers, endless; the same for the same seed.
#[derive(Debug)]
pub struct Arrivals {
    random: ChaCha8Rng,
    firm: Firm,
    rate: f64,
    number: u64,
    due: Duration,
}

impl Arrivals {
    /// Arrivals at `rate` requests a second on average; at least one a day.
    pub fn new(firm: Firm, rate: f64, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let rate = rate.max(1.0 / 86_400.0);
        Self { random, firm, rate, number: 0, due: Duration::ZERO }
    }

    fn below(&mut self, limit: u64) -> u64 {
        let product = u128::from(self.random.next_u64()) * u128::from(limit);
        (product >> u64::BITS) as u64
    }

    /// Exponentially distributed, as between independent callers.
    fn gap(&mut self) -> Duration {
        let uniform = (self.below(1 << 53) + 1) as f64 / (1_u64 << 53) as f64;
        Duration::from_secs_f64(-uniform.ln() / self.rate)
    }

    fn kind(&mut self) -> RequestKind {
        let mix = self.firm.mix();
        let mut draw = self.below(mix.iter().map(|(_, share)| share).sum());
        for &(kind, share) in mix {
            if draw < share {
                return kind;
            }
            draw -= share;
        }
        mix[0].0
    }

    fn key(&mut self, kind: RequestKind) -> String {
        let hot = self.below(100) < HOT_SHARE;
        let count = if hot { HOT_KEYS } else { kind.key_count() };
        format!("{}-{}", kind.key_prefix(), self.below(count))
    }

    fn file_bytes(&mut self, kind: RequestKind) -> Option<u64> {
        let (least, greatest) = kind.file_bytes()?;
        Some(least + self.below(greatest - least))
    }
}

impl Iterator for Arrivals {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        let gap = self.gap();
        self.due += gap;
        let kind = self.kind();
        let key = self.key(kind);
        let file_bytes = self.file_bytes(kind);
        let draw = self.random.next_u64();
        let number = self.number;
        self.number += 1;
        Some(PlannedRequest { number, due: self.due, kind, key, file_bytes, draw })
    }
}
