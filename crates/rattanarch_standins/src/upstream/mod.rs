//! Upstream emulator; see `docs/UPSTREAM-API.md`.

mod body;
mod execution;
mod faults;
mod grant;
mod journal;
mod report;
mod settings;
mod standin;
mod state;
mod warmup;
mod work_request;

pub use faults::ReportMode;
pub use faults::UpstreamFaults;
pub use journal::Journal;
pub use journal::JournalEntry;
pub use journal::JournalEvent;
pub use journal::Outcome;
pub use settings::UpstreamSettings;
pub use standin::UpstreamStandin;
