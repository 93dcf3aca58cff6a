//! What lives as long as the process.

mod follower;
mod following;
mod lag;
mod listeners;
mod meters;
mod records;
mod run;
mod settings;
mod shared;
mod stop;
mod store_relay;
mod tally;
mod usage;

pub(crate) use following::Following;
pub(crate) use meters::RequestLabels;
pub(crate) use records::learn_changes;
pub(crate) use records::learn_configuration;
pub(crate) use records::learn_configuration_changes;
pub(crate) use records::learn_evacuated;
pub(crate) use records::learn_record;
pub(crate) use records::read_record;
pub(crate) use records::write_gathered;
pub(crate) use records::write_record;
pub use run::StartError;
pub use run::run;
pub use run::settings_file;
pub use settings::Settings;
pub use settings::SettingsError;
pub(crate) use shared::Shared;
pub(crate) use stop::LINGER;
pub(crate) use stop::Phase;
pub(crate) use store_relay::STORE_PATH;
pub(crate) use store_relay::answer_store_call;
pub(crate) use tally::Tally;
