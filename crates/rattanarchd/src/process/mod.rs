//! What lives as long as the process.

mod clock;

pub use clock::Clock;
