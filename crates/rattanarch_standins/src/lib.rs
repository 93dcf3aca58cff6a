//! Emulators (stand-ins) of the platform and of an upstream, a load generator, and process fixtures
//! for failure tests. Those of the users' platform are in the crate `rattanarch_adapter_standins`.
//!
//! This crate is not shipped. The emulators implement `docs/PLATFORM-API.md` and
//! `docs/UPSTREAM-API.md`, inject the faults listed there on request, and record what they executed,
//! so that tests check these records instead of relying on timing.

mod clock;
mod content;
mod fixture;
mod http;
mod load;
mod platform;
mod query;
mod upstream;

pub use content::Content;
pub use fixture::FixtureError;
pub use fixture::Fleet;
pub use fixture::Process;
pub use fixture::Program;
pub use fixture::ServicePlan;
pub use fixture::Slot;
pub use fixture::Violation;
pub use fixture::check_acknowledged;
pub use fixture::check_at_most_once;
pub use fixture::check_exclusive;
pub use fixture::moved_slices;
pub use http::Traffic;
pub use http::run_server;
pub use load::Arrivals;
pub use load::BackgroundLoad;
pub use load::Firm;
pub use load::FirmError;
pub use load::KindReport;
pub use load::LoadReport;
pub use load::LoadSettings;
pub use load::PlannedRequest;
pub use load::RequestKind;
pub use load::ServiceReport;
pub use load::TargetError;
pub use load::Targets;
pub use load::Unavailability;
pub use load::run_load;
pub use platform::PlatformCounts;
pub use platform::PlatformFaults;
pub use platform::PlatformStandin;
pub use upstream::Journal;
pub use upstream::JournalEntry;
pub use upstream::JournalEvent;
pub use upstream::Outcome;
pub use upstream::ReportMode;
pub use upstream::UpstreamFaults;
pub use upstream::UpstreamSettings;
pub use upstream::UpstreamStandin;
