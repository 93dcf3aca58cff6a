//! Stand-ins of the users' platform for the review's cases. They use the standard library only and follow the pages in
//! `../given/kit/more/system/`.

pub mod client;
pub mod endpoint;
pub mod fleet;
pub mod http;
pub mod json;
pub mod ledger;
pub mod record;
pub mod store;

/// Number of keys of a service that is divided by key.
pub const KEYS: usize = 65_536;

/// Pseudo-random numbers (xorshift) for keys and ids.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn draw(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

/// Whether the disruption is to be played: `TROUBLE=0` leaves it out.
pub fn trouble() -> String {
    std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned())
}
