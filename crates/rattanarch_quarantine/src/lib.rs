//! Pure decision logic for requests that end the upstreams which run them.
//!
//! A [`Fingerprint`] tells which requests are repeats of each other, whatever their ids.

mod fingerprint;

pub use fingerprint::Fingerprint;
pub use fingerprint::RequestContent;
