//! State and tasks that live as long as the process.

mod active_count;
mod lag;
mod listeners;
mod meters;
mod records;
mod restore;
mod run;
mod settings;
mod shared;
mod stop;
mod store_follower;
mod store_relay;
mod usage;
mod watcher;

pub(crate) use active_count::ActiveCount;
pub(crate) use meters::RequestLabels;
pub(crate) use records::first_record;
pub(crate) use records::learn_configuration;
pub(crate) use records::learn_configuration_changes;
pub(crate) use records::learn_evacuated_from_peer;
pub(crate) use records::learn_record;
pub(crate) use records::learn_record_changes;
pub(crate) use records::read_record;
pub(crate) use records::write_batch;
pub(crate) use records::write_record;
pub use run::StartError;
pub use run::run;
pub use run::settings_file;
pub use settings::Settings;
pub use settings::SettingsError;
pub(crate) use shared::Shared;
pub(crate) use stop::ADMIT_AFTER_STOP;
pub(crate) use stop::Phase;
pub(crate) use store_follower::StoreFollower;
pub(crate) use store_relay::STORE_PATH;
pub(crate) use store_relay::answer_store_call;
