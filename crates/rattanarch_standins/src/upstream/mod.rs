//! Stand-in for an upstream; see `docs/UPSTREAM-API.md`.

mod body;
mod faults;
mod grant;
mod journal;
mod report;
mod run;
mod service;
mod settings;
mod state;
mod warmth;
mod work;

pub use faults::ReportMode;
pub use faults::UpstreamFaults;
pub use journal::Journal;
pub use journal::JournalEntry;
pub use journal::JournalEvent;
pub use journal::Outcome;
pub use service::UpstreamStandin;
pub use settings::UpstreamSettings;
