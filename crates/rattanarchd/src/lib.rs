//! The daemon that runs beside each upstream, for installations without the users' platform.
//!
//! The binary runs [`process::run`] or, with `--platform`, the separate daemon of the crate
//! `rattanarch_mesh`.
//!
//! An *instance* is a place for one upstream and its daemon, also called a *slot*; fields named
//! `slots` hold the number of requests that an upstream runs at once. A *member* is one incarnation
//! of an instance in a service, and has a boot id.
//!
//! Modules are divided by the lifetime of what they hold: a [`request`], a [`connection`], a
//! [`version`] of the shared state, and the [`process`]; [`operator`] serves the operators' API. Tests
//! also use single modules.

pub mod connection;
pub mod operator;
pub mod process;
pub mod request;
pub mod version;
