//! The daemon's shell on the users' platform.
//!
//! One process runs beside each upstream. It takes the requests of the callers on its machine, sends
//! each to the daemon beside an upstream that may serve it, and is itself the only way to its own
//! upstream. Decisions are made by the pure crates; this one does the I/O. Modules follow the life
//! span of what they hold: a `request`, a `connection`, a `version` of the shared state, one
//! life of the `upstream`, and the `process`; `control` drives the ownership protocol.
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
