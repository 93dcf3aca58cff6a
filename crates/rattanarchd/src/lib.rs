//! The daemon that runs in the slot beside each upstream.
//!
//! Modules are divided by the lifetime of what they hold: a [`request`], a [`connection`], a
//! [`version`] of the shared state, and the [`process`]; [`operator`] serves the operators' API. The
//! binary reads its command line and calls [`process::run`]; tests also use single modules.

pub mod connection;
pub mod operator;
pub mod process;
pub mod request;
pub mod version;
