//! Stages of a member's life.

use crate::joining::Joining;
use crate::membership::Membership;

/// Where a node stands; it never goes back.
#[derive(Debug)]
pub(crate) enum Life {
    /// Not yet a member.
    Joining(Joining),
    /// A member.
    Member(Membership),
    /// No member any more.
    Gone,
}
