//! Client for the platform's object API; see `docs/PLATFORM-API.md`. The folder `platform/`
//! has the crate `rattanarch_adapter`, which is the client for the platform of the users.
//!
//! Every call blocks its thread and ends within the client's timeout. Errors state whether a write
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
