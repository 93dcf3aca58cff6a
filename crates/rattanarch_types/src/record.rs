//! The ownership record of one service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::BootId;
use crate::KeyHash;
use crate::Member;
use crate::ServiceName;
use crate::SliceId;
use crate::Version;
use crate::WriteId;
use crate::slice_of;

/// Who owns what in one service; one object in the platform, changed only by conditional update.
///
/// A service without keys has no slices and uses only `members`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Service that the record is of.
    pub service: ServiceName,
    /// One more than the version that the write replaced; equals the platform's object version.
    pub version: Version,
    /// Unique to the write that made this version.
    pub write_id: WriteId,
    /// Lives of instances in the service. Map keys are unique over all records.
    pub members: BTreeMap<BootId, Member>,
    /// Owner of each slice, by slice id; `None` before the first member joins or while every
    /// former owner is gone. Each owner is a key of `members`.
    pub owners: Vec<Option<BootId>>,
    /// Owners of hot keys, which override the owner of the key's slice. Each owner is a key of
    /// `members`.
    pub hot: BTreeMap<KeyHash, BootId>,
    /// What the last owner's upstream left for the next owner of a slice, so that the next one
    /// starts with the state of its keys; empty for upstreams that leave nothing.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub handovers: BTreeMap<SliceId, String>,
}

/// A record that breaks one of its invariants.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// A slice belongs to a boot id that is no member.
    #[error("slice {slice} of service {service:?} is owned by {owner:#x}, which is no member")]
    OwnerUnknown {
        /// Service of the record.
        service: ServiceName,
        /// Slice with the bad owner.
        slice: SliceId,
        /// The owner that is no member.
        owner: BootId,
    },
    /// A hot key belongs to a boot id that is no member.
    #[error("hot key {key:#x} of service {service:?} is owned by {owner:#x}, which is no member")]
    HotOwnerUnknown {
        /// Service of the record.
        service: ServiceName,
        /// Hash of the key with the bad owner.
        key: KeyHash,
        /// The owner that is no member.
        owner: BootId,
    },
    /// Two members share one instance.
    #[error("instance {instance:?} is twice a member of service {service:?}")]
    DuplicateInstance {
        /// Service of the record.
        service: ServiceName,
        /// The instance that stands twice.
        instance: String,
    },
    /// A member witnesses itself.
    #[error("member {member:#x} of service {service:?} is its own witness")]
    SelfWitness {
        /// Service of the record.
        service: ServiceName,
        /// The member.
        member: BootId,
    },
}

impl Record {
    /// An empty record at version 0, which no store holds yet.
    pub fn new(service: impl Into<ServiceName>, slices: SliceId) -> Self {
        Self { service: service.into(), owners: vec![None; usize::from(slices)], ..Self::default() }
    }

    /// Number of slices; 0 for a service without keys.
    pub fn slice_count(&self) -> SliceId {
        self.owners.len() as SliceId
    }

    /// Owner of the key whose hash is `hash`.
    pub fn owner_of(&self, hash: KeyHash) -> Option<BootId> {
        if let Some(owner) = self.hot.get(&hash) {
            return Some(*owner);
        }
        let slice = slice_of(hash, self.slice_count());
        self.owners.get(usize::from(slice)).copied().flatten()
    }

    /// Slices that `member` owns, in order.
    pub fn slices_of(&self, member: BootId) -> impl Iterator<Item = SliceId> + '_ {
        let owned = self.owners.iter().enumerate().filter(move |(_, o)| **o == Some(member));
        owned.map(|(slice, _)| slice as SliceId)
    }

    /// Members that have to act on what changed since `older`: owners of slices or keys that they did
    /// not own, members that have released slices, members that are new or otherwise changed, and their
    /// witnesses, and members that have lost a witness.
    pub fn affected_since(&self, older: &Self) -> BTreeSet<BootId> {
        let gained = self.owners.iter().enumerate().filter_map(|(slice, owner)| {
            owner.filter(|_| older.owners.get(slice).copied().flatten() != *owner)
        });
        let hot = self.hot.iter().filter(|(key, owner)| older.hot.get(*key) != Some(*owner));
        let changed =
            self.members.iter().filter(|(id, member)| older.members.get(*id) != Some(*member));
        let changed = changed.flat_map(|(id, member)| {
            let only_released = older.members.get(id).is_some_and(|old| has_released(old, member));
            let witnesses = member.witnesses.iter().copied().filter(move |_| !only_released);
            witnesses.chain(std::iter::once(*id))
        });
        let gone = |id: &BootId| older.members.contains_key(id) && !self.members.contains_key(id);
        let bereft = self.members.iter().filter(|(_, member)| member.witnesses.iter().any(gone));
        let bereft = bereft.map(|(id, _)| *id);
        gained.chain(hot.map(|(_, owner)| *owner)).chain(changed).chain(bereft).collect()
    }

    /// Checks every invariant of the record.
    ///
    /// # Errors
    /// The first invariant found broken; see [`RecordError`].
    pub fn check(&self) -> Result<(), RecordError> {
        self.check_owners()?;
        self.check_members()
    }

    fn check_owners(&self) -> Result<(), RecordError> {
        for (slice, owner) in self.owners.iter().enumerate() {
            let Some(owner) = *owner else { continue };
            if !self.members.contains_key(&owner) {
                let service = self.service.clone();
                return Err(RecordError::OwnerUnknown { service, slice: slice as SliceId, owner });
            }
        }
        for (&key, &owner) in &self.hot {
            if !self.members.contains_key(&owner) {
                let service = self.service.clone();
                return Err(RecordError::HotOwnerUnknown { service, key, owner });
            }
        }
        Ok(())
    }

    fn check_members(&self) -> Result<(), RecordError> {
        let mut seen = BTreeSet::new();
        for (&member, state) in &self.members {
            let service = self.service.clone();
            if !seen.insert(&state.instance) {
                let instance = state.instance.clone();
                return Err(RecordError::DuplicateInstance { service, instance });
            }
            if state.witnesses.contains(&member) {
                return Err(RecordError::SelfWitness { service, member });
            }
        }
        Ok(())
    }
}

/// Whether `member` differs from what it was by its number of releases at most.
fn has_released(old: &Member, member: &Member) -> bool {
    *member == Member { releases: member.releases, ..old.clone() }
}
