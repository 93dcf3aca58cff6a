//! Changes of the record that a node delegates to a daemon.

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

/// A change of the record that a node may delegate to another daemon, which writes many in one
/// update.
#[derive(Clone, Debug, Deserialize, Eq, From, PartialEq, Serialize)]
pub enum ChangeRequest {
    /// Adds a member.
    Join(JoinRequest),
    /// Gives up slices of a member.
    Release(ReleaseRequest),
    /// Takes a step of a member's departure.
    Depart(Departure),
    /// Replaces a member's witnesses.
    Change(WitnessChange),
    /// Removes members that serve nothing any more.
    Remove(Removal),
}

/// What a request is about; a later one about the same replaces it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum RequestKey {
    /// A node's membership and its slices.
    Membership(BootId),
    /// A member's departure.
    Departure(BootId),
    /// A member's witnesses.
    Witnesses(BootId),
    /// Other members, by the requesting node.
    Removals(BootId),
}

impl ChangeRequest {
    /// What the request is about; a later one about the same replaces it.
    pub(crate) fn key(&self) -> RequestKey {
        match self {
            Self::Join(request) => RequestKey::Membership(request.id),
            Self::Release(request) => RequestKey::Membership(request.id),
            Self::Depart(departure) => RequestKey::Departure(departure.id()),
            Self::Change(change) => RequestKey::Witnesses(change.id),
            Self::Remove(removal) => RequestKey::Removals(removal.id),
        }
    }

    /// Whether nothing is left to write, given `record`.
    pub(crate) fn is_settled(&self, record: &Record) -> bool {
        match self {
            Self::Join(request) => record.members.contains_key(&request.id),
            Self::Release(request) => request.is_settled(record),
            Self::Depart(departure) => departure.is_settled(record),
            Self::Change(change) => change.is_settled(record),
            Self::Remove(removal) => removal.is_settled(record),
        }
    }
}
