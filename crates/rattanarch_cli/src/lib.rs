//! Command line for operators: runs one statement, a script or an interactive session against any daemon.
//!
//! [`run`] is the whole program. Its [`Options`], input and outputs are arguments, so that tests can call it. It
//! returns an [`Exit`] status that scripts can rely on.

mod check;
mod client;
mod exit;
mod explain;
mod options;
mod render;
mod run;
mod session;
mod wait;

pub use exit::Exit;
pub use options::Options;
pub use run::run;
