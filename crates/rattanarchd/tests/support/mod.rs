//! Fakes at the interfaces of the request path: an upstream, a caller, and views.
#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]
#![allow(clippy::unwrap_used, reason = "as in test functions: a fake that fails fails the test")]

mod caller;
mod rig;
mod upstream;

pub use caller::Got;
pub use caller::ask;
pub use caller::ask_with;
pub use caller::raw;
pub use rig::Rig;
pub use rig::SERVICE;
pub use rig::view_of;
pub use upstream::Ask;
pub use upstream::FakeUpstream;
pub use upstream::Reply;
