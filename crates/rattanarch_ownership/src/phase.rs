//! Phases of a node.

use crate::joining::Joining;
use crate::leaving::Leaving;
use crate::membership::Membership;

/// Phase of a node; it only moves forward.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Not yet a member.
    Joining(Joining),
    /// A member.
    Member(Membership),
    /// A member that was told to stop.
    Leaving(Leaving),
    /// No longer a member.
    Ended,
}

impl Phase {
    /// State of the membership, while the node is a member.
    pub(crate) fn member(&self) -> Option<&Membership> {
        match self {
            Self::Member(member) => Some(member),
            Self::Leaving(leaving) => Some(&leaving.member),
            Self::Joining(_) | Self::Ended => None,
        }
    }

    /// State of the membership, while the node is a member.
    pub(crate) fn member_mut(&mut self) -> Option<&mut Membership> {
        match self {
            Self::Member(member) => Some(member),
            Self::Leaving(leaving) => Some(&mut leaving.member),
            Self::Joining(_) | Self::Ended => None,
        }
    }
}
