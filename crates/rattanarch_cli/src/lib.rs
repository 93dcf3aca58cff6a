//! The operators' program: one statement, a script or an interactive session against any daemon.
//!
//! [`run`] is the whole program but for its process: its [`Options`], input and outputs are
//! arguments. It ends with an [`Exit`] status that scripts can rely on.

mod check;
mod client;
mod exit;
mod options;
mod render;
mod run;
mod session;
mod wait;

pub use exit::Exit;
pub use options::Options;
pub use run::run;
