//! Emulator of the platform's object API; see `docs/PLATFORM-API.md`.

mod faults;
mod platform_counts;
mod standin;
mod store;

pub use faults::PlatformFaults;
pub(crate) use faults::consume;
pub use platform_counts::PlatformCounts;
pub use standin::PlatformStandin;
