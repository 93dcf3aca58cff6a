//! Pure ownership protocol: leases renewed by neighbours, seals, takeovers and planned releases.
//!
//! A [`Node`] is the part of one daemon that takes part in the ownership of one service. It does
//! no I/O and reads no clock: the daemon feeds it [`Event`]s with the current time and carries out
//! the [`Action`]s it returns. Unit tests, property tests, replayed model traces and the daemon
//! run the same code. `docs/OWNERSHIP.md` states the argument for its safety.

mod acks;
mod action;
mod attempt;
mod backoff;
mod balance;
mod contact;
mod core;
mod draws;
mod event;
mod heat;
mod joining;
mod lease;
mod leaving;
mod life;
mod membership;
mod message;
mod node;
mod release;
mod replacement;
mod rules;
mod serving;
mod takeover;
mod takeovers;
mod timing;
mod waits;
mod witness;

pub use action::Action;
pub use event::Event;
pub use event::WriteOutcome;
pub use message::Message;
pub use node::Node;
#[doc(hidden)]
pub use rules::Rules;
pub use serving::Refusal;
pub use serving::Serving;
pub use timing::Timing;
pub use waits::Waits;
