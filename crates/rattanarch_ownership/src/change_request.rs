//! What a node asks a daemon to write into the record for it.

use derive_more::From;
use rattanarch_types::BootId;
use rattanarch_types::Record;
use serde::Deserialize;
use serde::Serialize;

use crate::Departure;
use crate::JoinRequest;
use crate::ReleaseRequest;
use crate::Removal;
use crate::WitnessChange;

/// A change of the record that its node may leave to another daemon, which writes many in one update.
#[derive(Clone, Debug, Deserialize, Eq, From, PartialEq, Serialize)]
pub enum ChangeRequest {
    /// To become a member.
    Join(JoinRequest),
    /// To own some slices no longer.
    Release(ReleaseRequest),
    /// To leave.
    Depart(Departure),
    /// To have other witnesses.
    Change(WitnessChange),
    /// To take out members that serve nothing any more.
    Remove(Removal),
}

/// Which petitions replace each other.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum RequestKey {
    /// Whether a node is a member, and of which slices the owner.
    Membership(BootId),
    /// A member's way out.
    Departure(BootId),
    /// A member's witnesses.
    Witnesses(BootId),
    /// Others, by the node that asks.
    Removals(BootId),
}

impl ChangeRequest {
    /// Whom it is about; a later petition about the same replaces it.
    pub(crate) fn subject(&self) -> RequestKey {
        match self {
            Self::Join(application) => RequestKey::Membership(application.id),
            Self::Release(surrender) => RequestKey::Membership(surrender.id),
            Self::Depart(departure) => RequestKey::Departure(departure.id()),
            Self::Change(change) => RequestKey::Witnesses(change.id),
            Self::Remove(removal) => RequestKey::Removals(removal.id),
        }
    }

    /// Whether nothing is left to write by `record`.
    pub(crate) fn is_settled(&self, record: &Record) -> bool {
        match self {
            Self::Join(application) => record.members.contains_key(&application.id),
            Self::Release(surrender) => surrender.is_settled(record),
            Self::Depart(departure) => departure.is_settled(record),
            Self::Change(change) => change.is_settled(record),
            Self::Remove(removal) => removal.is_settled(record),
        }
    }
}
