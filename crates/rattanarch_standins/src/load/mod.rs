//! Seeded load like that of the two firms, sent to the daemons and checked.
//!
//! Arrivals are open-loop: a request is due at its time whether or not earlier ones were answered,
//! and its latency counts from then, so that a stalled system cannot hide its stall.

mod arrivals;
mod attempt;
mod background;
mod connections;
mod kind;
mod ledger;
mod report;
mod run;
mod settings;
mod table;

pub use arrivals::Arrivals;
pub use arrivals::PlannedRequest;
pub use background::BackgroundLoad;
pub use kind::Firm;
pub use kind::FirmError;
pub use kind::RequestKind;
pub use report::KindReport;
pub use report::LoadReport;
pub use report::ServiceReport;
pub use report::Unavailability;
pub use run::run_load;
pub use settings::LoadSettings;
pub use settings::TargetError;
pub use settings::Targets;
