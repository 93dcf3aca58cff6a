//! Client for the platform's object API, as `docs/PLATFORM-API.md` states it.
//!
//! Every call blocks its thread and ends within the client's timeout. Errors say whether a write
//! may have taken effect.

mod client;
mod error;
mod failure;
mod object;
mod path;
mod wire;

pub use client::Platform;
pub use error::PlatformError;
pub use object::Object;
pub use object::PutOutcome;
pub use path::configuration_path;
pub use path::record_path;
