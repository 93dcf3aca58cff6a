//! A small deployment on the platform: stand-ins for its store, its upstreams and its callers, and
//! daemons as processes.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "helpers for tests")]

mod busy_peer;
mod daemon;
mod delayed_proxy;
mod faulty_proxy;
mod mortal_upstream;
mod peers;
mod site;

pub use busy_peer::busy_peer;
pub use busy_peer::busy_peer_until;
pub use daemon::Addresses;
pub use daemon::Daemon;
pub use delayed_proxy::delayed_proxy;
pub use faulty_proxy::Fault;
pub use faulty_proxy::FaultSwitch;
pub use faulty_proxy::faulty_proxy;
pub use mortal_upstream::MortalArrival;
pub use mortal_upstream::MortalUpstream;
pub use peers::PeerResponse;
pub use peers::Peers;
pub use site::Site;
pub use site::wait_until;
