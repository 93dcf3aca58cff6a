//! Pure placement: which member owns which slice, and who witnesses whom.
//!
//! Every function is a deterministic decision on a [`Record`](rattanarch_types::Record): members
//! that hold the same version decide the same, without talking to each other.
//!
//! - [`choose_witnesses`] picks who renews a member's lease: spread over data centres, with even
//!   duty, keeping those that still serve.
//! - [`fill`] hands slices without an owner to the members that have the most room.
//! - [`plan`] lists the moves that bring every member to its share, in the order of turns.

mod rank;
mod share;
mod witness;

pub use rank::rank;
pub use share::Move;
pub use share::fill;
pub use share::plan;
pub use share::targets;
pub use witness::MAX_WITNESSES;
pub use witness::choose_witnesses;
