//! The ownership record of one service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::BootId;
use crate::Fence;
use crate::KeyHash;
use crate::Member;
use crate::ServiceName;
use crate::SliceId;
use crate::Version;
use crate::WriteId;
use crate::slice_of;

/// Who owns what in one service; stored as one object in the platform, changed only by conditional update.
///
/// The record of a service without keys has no slices and uses only `members`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Service that the record belongs to.
    pub service: ServiceName,
    /// One more than the version that the write replaced; equal to the platform's object version.
    pub version: Version,
    /// Id of the write that made this version; no other write has it.
    pub write_id: WriteId,
    /// Members by boot id. Boot ids are unique across all records.
    pub members: BTreeMap<BootId, Member>,
    /// Owner of each slice, by slice id; `None` before the first member joins or while all
    /// former owners are gone. Each owner is a key of `members`.
    pub owners: Vec<Option<BootId>>,
    /// Fencing token of each slice: the version that last gave the slice to another owner, so that it depends on nothing
    /// but the record, whichever versions a reader has skipped. Empty if the slices of the service have no tokens of
    /// their own; otherwise as long as `owners`, and never above `version`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fences: Vec<Fence>,
    /// Version in which the record was written back to a store that had been restored from an older copy, if members of
    /// versions that were lost may still hold slices; 0 once those holds have ended.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub restored: Version,
    /// Owners of hot keys, which override the owner of the key's slice. Each owner is a key of
    /// `members`.
    pub hot: BTreeMap<KeyHash, BootId>,
    /// State that the upstream of the last owner left for the next owner of a slice, so that the next one
    /// starts with the state of its keys; empty for upstreams that leave none.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub handovers: BTreeMap<SliceId, String>,
}

/// A violated invariant of a record.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// A slice is owned by a boot id that is not a member.
    #[error("slice {slice} of service {service:?} is owned by {owner:#x}, which is not a member")]
    OwnerUnknown {
        /// Service of the record.
        service: ServiceName,
        /// Slice with the unknown owner.
        slice: SliceId,
        /// The owner that is not a member.
        owner: BootId,
    },
    /// A hot key is owned by a boot id that is not a member.
    #[error(
        "hot key {key:#x} of service {service:?} is owned by {owner:#x}, which is not a member"
    )]
    HotOwnerUnknown {
        /// Service of the record.
        service: ServiceName,
        /// Hash of the key with the unknown owner.
        key: KeyHash,
        /// The owner that is not a member.
        owner: BootId,
    },
    /// Two members have the same instance.
    #[error("instance {instance:?} has two members in service {service:?}")]
    DuplicateInstance {
        /// Service of the record.
        service: ServiceName,
        /// The instance with two members.
        instance: String,
    },
    /// There are fencing tokens, but not one for each slice, or one is above the version.
    #[error("fencing tokens of service {service:?} don't fit its slices")]
    FencesMisfit {
        /// Service of the record.
        service: ServiceName,
    },
    /// A member is its own witness.
    #[error("member {member:#x} of service {service:?} is its own witness")]
    SelfWitness {
        /// Service of the record.
        service: ServiceName,
        /// The member.
        member: BootId,
    },
}

impl Record {
    /// An empty record at version 0, which has not been stored yet.
    pub fn new(service: impl Into<ServiceName>, slices: SliceId) -> Self {
        Self { service: service.into(), owners: vec![None; usize::from(slices)], ..Self::default() }
    }

    /// Gives each slice a fencing token: the record's version, which is above all that were given out before.
    pub fn with_fences(mut self) -> Self {
        self.fences = vec![self.version; self.owners.len()];
        self
    }

    /// Sets the fencing tokens in a successor of `older`: slices with another owner get the new version, the others keep
    /// theirs.
    pub fn update_fences(&mut self, older: &Self) {
        if older.fences.is_empty() {
            return;
        }
        let version = self.version;
        let token = |(slice, owner): (usize, &Option<BootId>)| {
            let unmoved = older.owners.get(slice) == Some(owner);
            older.fences.get(slice).copied().filter(|_| unmoved).unwrap_or(version)
        };
        self.fences = self.owners.iter().enumerate().map(token).collect();
    }

    /// Fencing token of `slice`; `None` if the slices have no tokens of their own.
    pub fn fence_of(&self, slice: SliceId) -> Option<Fence> {
        self.fences.get(usize::from(slice)).copied()
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

    /// Slices that `member` owns, in ascending order.
    pub fn slices_of(&self, member: BootId) -> impl Iterator<Item = SliceId> + '_ {
        let owned = self.owners.iter().enumerate().filter(move |(_, o)| **o == Some(member));
        owned.map(|(slice, _)| slice as SliceId)
    }

    /// Members that have to act on the changes since `older`: members that gained slices or hot keys, members
    /// that released slices, members that are new or changed otherwise and the witnesses of these, and members
    /// that lost a witness.
    pub fn affected_since(&self, older: &Self) -> BTreeSet<BootId> {
        let gained = self.owners.iter().enumerate().filter_map(|(slice, owner)| {
            owner.filter(|_| older.owners.get(slice).copied().flatten() != *owner)
        });
        let hot = self.hot.iter().filter(|(key, owner)| older.hot.get(*key) != Some(*owner));
        let changed =
            self.members.iter().filter(|(id, member)| older.members.get(*id) != Some(*member));
        let changed = changed.flat_map(|(id, member)| {
            let only_releases =
                older.members.get(id).is_some_and(|old| differs_only_in_releases(old, member));
            let witnesses = member.witnesses.iter().copied().filter(move |_| !only_releases);
            witnesses.chain(std::iter::once(*id))
        });
        let removed =
            |id: &BootId| older.members.contains_key(id) && !self.members.contains_key(id);
        let lost_witness =
            self.members.iter().filter(|(_, member)| member.witnesses.iter().any(removed));
        let lost_witness = lost_witness.map(|(id, _)| *id);
        gained.chain(hot.map(|(_, owner)| *owner)).chain(changed).chain(lost_witness).collect()
    }

    /// Checks every invariant of the record.
    ///
    /// # Errors
    /// The first violated invariant; see [`RecordError`].
    pub fn check(&self) -> Result<(), RecordError> {
        self.check_owners()?;
        self.check_fences()?;
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

    fn check_fences(&self) -> Result<(), RecordError> {
        let fits = self.fences.len() == self.owners.len()
            && self.fences.iter().all(|fence| *fence <= self.version);
        if self.fences.is_empty() || fits {
            return Ok(());
        }
        Err(RecordError::FencesMisfit { service: self.service.clone() })
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

fn is_zero(version: &Version) -> bool {
    *version == 0
}

/// Whether `member` is equal to `old` except for its number of releases.
fn differs_only_in_releases(old: &Member, member: &Member) -> bool {
    *member == Member { releases: member.releases, ..old.clone() }
}
