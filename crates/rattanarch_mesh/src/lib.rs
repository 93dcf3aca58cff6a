//! The daemon's I/O: listeners, connections, request forwarding and the ownership protocol.
//!
//! One process runs beside each upstream. It accepts the requests of the callers on its machine and
//! forwards each to the daemon beside an upstream that may serve it. All requests to its own
//! upstream pass through it. Decisions are made by crates without I/O; this one carries them out.
//! Modules are divided by the lifetime of what they hold: a `request`, a `connection`, a `version`
//! of the shared state, one run of the `upstream`, and the `process`; `control` drives the ownership
//! protocol.
//!
//! Everything runs on one thread: a machine has a fraction of a core, and state shared within a
//! thread needs no locks.

mod connection;
mod control;
mod process;
mod request;
mod upstream;
mod version;

pub use process::Settings;
pub use process::SettingsError;
pub use process::StartError;
pub use process::run;
pub use process::settings_file;
