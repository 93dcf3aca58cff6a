//! Pure decisions on how shared state reaches every daemon.
//!
//! The store counts each call, and its rates grow more slowly than the fleet. A few daemons of each
//! [`group`] follow it and say so to the others several times a second; a [`FollowerRole`] tells a daemon when
//! it has heard of no current follower for too long and has to ask the store itself. A [`RecordFetchPolicy`] tells
//! when records are fetched from peers, and a [`RecordHistory`] keeps what those lack of them; a
//! [`ConfigurationHistory`] does the same for the configuration.
//! [`FetchScheduler`] tells from whom to fetch next, and an [`LinkPacer`] how many are answered at a time.

mod configuration_history;
mod fetch_scheduler;
mod follower_role;
mod group;
mod link_pacer;
mod record_fetch_policy;
mod record_history;
mod value_change;

pub use configuration_history::ConfigurationChange;
pub use configuration_history::ConfigurationHistory;
pub use configuration_history::VersionHash;
pub use configuration_history::apply_all;
pub use fetch_scheduler::FETCH_IDLE_TIMEOUT;
pub use fetch_scheduler::Fetch;
pub use fetch_scheduler::FetchScheduler;
pub use fetch_scheduler::MissingState;
pub use fetch_scheduler::fetch_timeout;
pub use follower_role::FOLLOWER_TIMEOUT;
pub use follower_role::FollowerRole;
pub use follower_role::MAX_STAGGER;
pub use group::DaemonLocation;
pub use group::FOLLOWERS_PER_GROUP;
pub use group::Group;
pub use group::MAX_GROUP_SIZE;
pub use group::group;
pub use link_pacer::LinkPacer;
pub use record_fetch_policy::MAX_RECORD_WAIT;
pub use record_fetch_policy::RecordFetchPolicy;
pub use record_history::RecordHistory;
pub use value_change::ListPart;
pub use value_change::ValueChange;
