//! Test doubles for request handling: an upstream, a caller, and a daemon with given views.
#![allow(dead_code, unused_imports, reason = "each test file uses only some items")]
#![allow(clippy::unwrap_used, reason = "a failure of a test double fails the test")]

mod caller;
mod fake_upstream;
mod test_daemon;

pub use caller::CallerResponse;
pub use caller::send_bytes;
pub use caller::send_request;
pub use caller::send_request_with;
pub use fake_upstream::FakeUpstream;
pub use fake_upstream::ReceivedRequest;
pub use fake_upstream::Reply;
pub use test_daemon::SERVICE;
pub use test_daemon::TestDaemon;
pub use test_daemon::view_of;
