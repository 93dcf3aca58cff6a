//! The daemon that runs in the slot beside each upstream.
//!
//! Modules are laid out by life span: what lives for a [`request`], for a [`connection`], for a
//! [`version`] of the shared state, and for the [`process`]. The binary only reads its command line
//! and calls [`process::run`]; tests and the load tool may embed the parts.

pub mod connection;
pub mod operator;
pub mod process;
pub mod request;
pub mod version;
