//! Stages of a member's life.

use crate::joining::Joining;
use crate::leaving::Leaving;
use crate::membership::Membership;

/// Where a node stands; it never goes back.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Not yet a member.
    Joining(Joining),
    /// A member.
    Member(Membership),
    /// A member that was told to stop.
    Leaving(Leaving),
    /// No member any more.
    Ended,
}

impl Phase {
    /// The member's state, while it is one.
    pub(crate) fn member(&self) -> Option<&Membership> {
        match self {
            Self::Member(member) => Some(member),
            Self::Leaving(leaving) => Some(&leaving.member),
            Self::Joining(_) | Self::Ended => None,
        }
    }

    /// The member's state, while it is one.
    pub(crate) fn member_mut(&mut self) -> Option<&mut Membership> {
        match self {
            Self::Member(member) => Some(member),
            Self::Leaving(leaving) => Some(&mut leaving.member),
            Self::Joining(_) | Self::Ended => None,
        }
    }
}
