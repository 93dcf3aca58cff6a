//! What lives for one connection.

mod body;
mod limited_stream;
mod pool;
mod post;
mod server;
mod turns;
mod within;

pub(crate) use body::AnswerBody;
pub(crate) use pool::Checkout;
pub(crate) use pool::Link;
pub(crate) use pool::Pool;
pub(crate) use pool::SendError;
pub(crate) use post::FetchError;
pub(crate) use post::post;
pub(crate) use post::post_paced;
pub(crate) use post::read_question;
pub(crate) use server::Handler;
pub(crate) use server::ServerOptions;
pub(crate) use server::serve;
pub(crate) use turns::LinkTurns;
pub(crate) use turns::TurnBody;
pub(crate) use within::within;

/// Longest time that a request is on its way to a machine that counts as sound: packets wait for up to half a second
/// at its link (users' rules, "choked").
pub(crate) const LONGEST_WAY: std::time::Duration = std::time::Duration::from_millis(600);
