//! HTTP serving shared by the stand-ins.

mod answer;
mod counted;
mod server;

pub(crate) use answer::Answer;
pub(crate) use answer::Body;
pub(crate) use answer::Hangup;
pub(crate) use answer::empty;
pub(crate) use answer::json;
pub(crate) use answer::whole;
pub(crate) use counted::Counted;
pub use counted::Traffic;
pub(crate) use server::Handler;
pub(crate) use server::read_body;
pub use server::run_server;
