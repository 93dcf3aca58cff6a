//! Pure decisions on how shared state reaches every daemon.
//!
//! The store counts each call, and its rates grow more slowly than the fleet. A few daemons of each
//! [`group`] follow it and say so to the others several times a second; a [`FollowDuty`] tells a daemon when
//! it has heard of no current follower for too long and has to ask the store itself. A [`RecordInterest`] tells
//! when records are fetched from peers, and a [`RecordHistory`] keeps what those lack of them; a
//! [`ConfigurationHistory`] does the same for the configuration.
//! [`Fetches`] tells from whom to fetch next, and an [`Outlet`] how many are answered at a time.

mod configuration_history;
mod duty;
mod fetches;
mod group;
mod history;
mod interest;
mod outlet;
mod value_change;

pub use configuration_history::Base;
pub use configuration_history::ConfigurationChange;
pub use configuration_history::ConfigurationHistory;
pub use configuration_history::apply_all;
pub use duty::FollowDuty;
pub use duty::MAX_STAGGER;
pub use duty::PATIENCE;
pub use fetches::Fetch;
pub use fetches::Fetches;
pub use fetches::Lack;
pub use fetches::SILENCE;
pub use fetches::fetch_time;
pub use group::FOLLOWERS;
pub use group::Group;
pub use group::MAX_GROUP;
pub use group::Neighbour;
pub use group::group;
pub use history::RecordHistory;
pub use interest::RECORD_PATIENCE;
pub use interest::RecordInterest;
pub use outlet::Outlet;
pub use value_change::Part;
pub use value_change::ValueChange;
