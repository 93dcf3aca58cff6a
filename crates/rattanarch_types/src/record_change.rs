//! The difference between two versions of a record.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::BootId;
use crate::Fence;
use crate::KeyHash;
use crate::Member;
use crate::Record;
use crate::ServiceName;
use crate::SliceId;
use crate::Version;
use crate::WriteId;

/// The difference between an earlier and a later version of a record. It is much smaller than the record itself, which
/// contains all members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordChange {
    /// Service of the record.
    pub service: ServiceName,
    /// Version that the change applies to.
    pub from: Version,
    /// Version that results; higher than `from`.
    pub to: Version,
    /// [`Record::write_id`] of version `to`.
    write_id: WriteId,
    /// [`Record::restored`] of version `to`.
    #[serde(default)]
    restored: Version,
    /// Members that are new or changed.
    members: BTreeMap<BootId, Member>,
    /// Members that were removed.
    gone: Vec<BootId>,
    /// Slices with a new owner, by that owner.
    gained: BTreeMap<BootId, Vec<SliceId>>,
    /// Slices that no longer have an owner.
    freed: Vec<SliceId>,
    /// Slices whose fencing token differs from what their owners tell, by token: they have changed hands in a version
    /// between `from` and `to`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    fenced: BTreeMap<Fence, Vec<SliceId>>,
    /// All hot keys, if any of them changed.
    hot: Option<BTreeMap<KeyHash, BootId>>,
    /// Handovers that are new or changed; `None` for those that were removed.
    handovers: BTreeMap<SliceId, Option<String>>,
}

impl RecordChange {
    /// The change from `older` to `newer`; `None` if `newer` is not a later version of the same record, or has another
    /// number of slices.
    pub fn between(older: &Record, newer: &Record) -> Option<Self> {
        let comparable = older.service == newer.service
            && older.version < newer.version
            && older.owners.len() == newer.owners.len()
            && older.fences.len() == newer.fences.len();
        if !comparable {
            return None;
        }
        let changed = newer.members.iter().filter(|(id, m)| older.members.get(*id) != Some(*m));
        let removed = older.members.keys().filter(|id| !newer.members.contains_key(id));
        let mut gained: BTreeMap<BootId, Vec<SliceId>> = BTreeMap::new();
        let mut freed = Vec::new();
        for (slice, owner) in newer.owners.iter().enumerate() {
            if older.owners[slice] != *owner {
                let slices = owner.map_or(&mut freed, |owner| gained.entry(owner).or_default());
                slices.push(slice as SliceId);
            }
        }
        Some(Self {
            service: newer.service.clone(),
            from: older.version,
            to: newer.version,
            write_id: newer.write_id,
            restored: newer.restored,
            members: changed.map(|(id, member)| (*id, member.clone())).collect(),
            gone: removed.copied().collect(),
            gained,
            freed,
            fenced: differing_fences(older, newer),
            hot: (older.hot != newer.hot).then(|| newer.hot.clone()),
            handovers: changed_handovers(older, newer),
        })
    }

    /// Applies the change to `record` at version `from` and returns version `to`; `None` if `record` has another
    /// version or the result violates an invariant of records.
    pub fn apply(&self, mut record: Record) -> Option<Record> {
        if record.service != self.service || record.version != self.from || self.to <= self.from {
            return None;
        }
        let older = record.clone();
        record.version = self.to;
        record.write_id = self.write_id;
        record.restored = self.restored;
        for id in &self.gone {
            record.members.remove(id);
        }
        record.members.extend(self.members.clone());
        let gained = self.gained.iter().map(|(owner, slices)| (Some(*owner), slices));
        for (owner, slices) in gained.chain(std::iter::once((None, &self.freed))) {
            for slice in slices {
                *record.owners.get_mut(usize::from(*slice))? = owner;
            }
        }
        record.update_fences(&older);
        for (fence, slices) in &self.fenced {
            for slice in slices {
                *record.fences.get_mut(usize::from(*slice))? = *fence;
            }
        }
        if let Some(hot) = &self.hot {
            record.hot.clone_from(hot);
        }
        for (slice, handover) in &self.handovers {
            match handover {
                Some(handover) => drop(record.handovers.insert(*slice, handover.clone())),
                None => drop(record.handovers.remove(slice)),
            }
        }
        record.check().ok()?;
        Some(record)
    }
}

/// Slices of `newer` whose fencing tokens are not those of a direct successor of `older`.
fn differing_fences(older: &Record, newer: &Record) -> BTreeMap<Fence, Vec<SliceId>> {
    let mut direct =
        Record { version: newer.version, owners: newer.owners.clone(), ..Record::default() };
    direct.update_fences(older);
    let mut fenced: BTreeMap<Fence, Vec<SliceId>> = BTreeMap::new();
    for (slice, (fence, expected)) in newer.fences.iter().zip(&direct.fences).enumerate() {
        if fence != expected {
            fenced.entry(*fence).or_default().push(slice as SliceId);
        }
    }
    fenced
}

fn changed_handovers(older: &Record, newer: &Record) -> BTreeMap<SliceId, Option<String>> {
    let is_changed =
        |(slice, handover): &(&SliceId, &String)| older.handovers.get(*slice) != Some(*handover);
    let changed =
        newer.handovers.iter().filter(is_changed).map(|(slice, h)| (*slice, Some(h.clone())));
    let removed = older.handovers.keys().filter(|slice| !newer.handovers.contains_key(slice));
    changed.chain(removed.map(|slice| (*slice, None))).collect()
}
