//! Stand-in for the platform's object API; see `docs/PLATFORM-API.md`.

mod counts;
mod faults;
mod service;
mod store;

pub use counts::PlatformCounts;
pub use faults::PlatformFaults;
pub(crate) use faults::take;
pub use service::PlatformStandin;
