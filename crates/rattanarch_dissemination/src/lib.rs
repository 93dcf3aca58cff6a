//! Pure decision logic for spreading shared state to every daemon.
//!
//! The rate limits of the store count every call and grow more slowly than the fleet. Therefore only a few daemons
//! of each [`group`] follow (poll) the store, and confirm to the others several times a second that their state is
//! current. [`FollowerRole`] decides when a daemon has heard from no current follower for too long and has to poll the
//! store itself. [`RecordFetchPolicy`] decides when records are fetched from peers, and [`RecordHistory`] and
//! [`ConfigurationHistory`] keep the changes that bring peers with an older version up to date. [`FetchScheduler`]
//! chooses the peer of the next fetch, and [`LinkPacer`] limits the large responses that are sent at a time.

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
