//! What lives as long as the process.

mod clock;
mod logs;
mod metrics;
mod settings;
mod settings_error;

pub use clock::Clock;
pub use logs::start_logs;
pub use metrics::Counters;
pub use metrics::Metrics;
pub use settings::ListenSettings;
pub use settings::LogSettings;
pub use settings::MetricSettings;
pub use settings::OperatorSettings;
pub use settings::PeerSettings;
pub use settings::PlatformSettings;
pub use settings::ProcessSettings;
pub use settings::Settings;
pub use settings::UpstreamSettings;
pub use settings_error::SettingsError;
