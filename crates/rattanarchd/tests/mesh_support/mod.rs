//! The platform in small: its store, upstreams that hold keys, and daemons as processes.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod busy;
mod daemon;
mod late;
mod peers;
mod site;

pub use busy::busy_machine;
pub use busy::busy_until;
pub use daemon::Daemon;
pub use late::late_machine;
pub use peers::Peers;
pub use peers::Told;
pub use site::Site;
pub use site::wait_until;
