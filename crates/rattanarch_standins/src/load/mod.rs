//! Load generator: sends seeded requests like those of the two firms and checks the responses.
//!
//! Arrivals are open-loop: a request is sent at its scheduled time even if earlier ones are pending,
//! and its latency is measured from that time. Otherwise a stall of the system would delay the requests
//! themselves and would not appear in the latencies.

mod arrivals;
mod attempt;
mod background_load;
mod connection_pool;
mod load_report;
mod report_builder;
mod request_kind;
mod run;
mod settings;
mod table;

pub use arrivals::Arrivals;
pub use arrivals::PlannedRequest;
pub use background_load::BackgroundLoad;
pub use load_report::KindReport;
pub use load_report::LoadReport;
pub use load_report::ServiceReport;
pub use load_report::Unavailability;
pub use request_kind::Firm;
pub use request_kind::FirmError;
pub use request_kind::RequestKind;
pub use run::run_load;
pub use settings::LoadSettings;
pub use settings::TargetError;
pub use settings::Targets;
