//! Pure decision logic for requests that end the upstreams which run them.
//!
//! A [`Fingerprint`] tells which requests are repeats of each other, whatever their ids. [`Quarantine`] collects the ends
//! of upstreams that requests were in flight at, and decides which of them are refused and which get a trial run;
//! [`trial_instance`] chooses the instance of the trial. Tables of different daemons are merged by [`SuspectReport`]s, in
//! any order and any number of times.

mod fingerprint;
mod quarantine;
mod suspect;
mod trial;

pub use fingerprint::Fingerprint;
pub use fingerprint::RequestContent;
pub use quarantine::MAX_SUSPECTS;
pub use quarantine::Quarantine;
pub use quarantine::QuarantineChange;
pub use quarantine::Verdict;
pub use suspect::EndId;
pub use suspect::EndState;
pub use suspect::MAX_ENDS;
pub use suspect::SuspectReport;
pub use trial::TRIAL_ROUND;
pub use trial::trial_instance;
