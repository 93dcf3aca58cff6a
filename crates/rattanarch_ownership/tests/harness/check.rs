//! Checks of the protocol's invariants.

use rattanarch_types::BootId;
use rattanarch_types::KeyHash;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use super::Process;
use super::Simulation;

impl Simulation {
    /// One key of each slice, and the keys that [`Fault::Load`](super::Fault::Load) can make hot.
    pub fn keys(&self) -> Vec<KeyHash> {
        let slices = u64::from(self.settings.slices);
        if slices == 0 {
            return Vec::new();
        }
        let step = u64::MAX / slices;
        let slice_keys = (0..slices).map(|slice| slice * step + step / 2);
        slice_keys.chain((0..4).map(Self::hot_key)).collect()
    }

    /// Hash of the key with this number in [`Fault::Load`](super::Fault::Load).
    pub fn hot_key(key: u8) -> KeyHash {
        let step = u64::MAX / 4;
        u64::from(key % 4) * step + step / 3
    }

    /// Processes at which a request for `hash` could run now. A process whose upstream has accepted
    /// the fence of a newer one can run none.
    pub fn servers(&self, hash: KeyHash) -> Vec<usize> {
        let serves = |index: &usize| {
            let process = &self.processes[*index];
            let fenced = process.fence > 0 && self.holders[process.slot] != *index;
            !fenced && process.serves(self.now, hash)
        };
        (0..self.processes.len()).filter(serves).collect()
    }

    /// Checks after a step of the process `index` that no key is served by two processes and that the
    /// process has not gone back to an older record.
    ///
    /// The passing of time only ends service, so two processes can serve a key only after a step that
    /// extends what a process serves.
    pub fn check(&mut self, index: usize) -> Result<(), String> {
        let now = self.now;
        let process = &mut self.processes[index];
        let serving = process.node.serving().clone();
        if serving.record.version < process.last_checked.record.version {
            return Err(format!("{now} µs: process {index} applied an older record"));
        }
        let lapsed = process.last_checked.lease_end.is_none_or(|until| until <= process.clock(now));
        let same = serving.record.version == process.last_checked.record.version
            && serving.releasing == process.last_checked.releasing
            && serving.releasing_hot == process.last_checked.releasing_hot;
        process.grant_end = process.grant_end.max(serving.lease_end.unwrap_or_default());
        process.last_checked = serving;
        if same && !lapsed {
            return Ok(());
        }
        for hash in self.keys() {
            let servers = self.servers(hash);
            if servers.len() > 1 {
                return Err(format!("{now} µs: key {hash:#x} is served by {servers:?}"));
            }
        }
        Ok(())
    }

    /// Checks that an update reassigns only slices of its writer, slices that their owner holds for
    /// release, and slices of members that it removes, and that removed members serve nothing any more.
    pub fn check_write(&self, writer: BootId, new: &Record) -> Result<(), String> {
        new.check().map_err(|error| error.to_string())?;
        let old = &self.platform.stored;
        let kept = |owner: &BootId| *owner != writer && new.members.contains_key(owner);
        for (slice, owner) in old.owners.iter().enumerate() {
            let taken = owner.filter(kept).filter(|_| new.owners[slice] != *owner);
            if taken.is_some_and(|owner| !self.holds(owner, slice as SliceId)) {
                return Err(format!("{writer} takes slice {slice} of the member {owner:?}"));
            }
        }
        for (key, owner) in old.hot.iter().filter(|(_, owner)| kept(owner)) {
            if new.hot.get(key) != Some(owner) {
                return Err(format!("{writer} takes key {key:#x} of the member {owner}"));
            }
        }
        let is_removed = |id: &&BootId| **id != writer && !new.members.contains_key(id);
        for id in old.members.keys().filter(is_removed) {
            self.check_removed(*id)?;
        }
        Ok(())
    }

    /// Whether `owner` holds `slice`: it has stopped serving it until a record settles the release.
    fn holds(&self, owner: BootId, slice: SliceId) -> bool {
        let mut processes = self.processes.iter().filter(|process| process.node.me() == owner);
        processes.all(|process| process.node.serving().releasing.contains(&slice))
    }

    /// Checks that no upstream has a valid grant from `removed` any more: a request that passed the
    /// check may still be in flight, even if the process has ended. A member that leaves has drained
    /// all requests and holds what it owns, so another process may write its departure.
    ///
    /// Machines have upstreams of their own, whose holds are checked instead.
    fn check_removed(&self, removed: BootId) -> Result<(), String> {
        if self.settings.machines {
            return Ok(());
        }
        let granted = |(index, process): &(usize, &Process)| {
            let fenced = process.fence > 0 && self.holders[process.slot] != *index;
            process.node.me() == removed && !fenced && process.clock(self.now) < process.grant_end
        };
        let owns = self.platform.stored.owners.contains(&Some(removed));
        match self.processes.iter().enumerate().find(granted) {
            Some((_, process)) if owns && !self.is_departing(process) => {
                Err(format!("{} µs: {removed} is removed while its grant is valid", self.now))
            }
            _ => Ok(()),
        }
    }

    /// Whether `process` has asked for its departure and holds all slices that it owns.
    fn is_departing(&self, process: &Process) -> bool {
        let me = process.node.me();
        process.departing && self.platform.stored.slices_of(me).all(|slice| self.holds(me, slice))
    }

    /// Checks that every slot has a member and every key is served.
    pub fn check_all_served(&self) -> Result<(), String> {
        for hash in self.keys() {
            if self.servers(hash).is_empty() {
                let owner = self.platform.stored.owner_of(hash);
                return Err(format!("key {hash:#x} of {owner:?} is unserved: {}", self.describe()));
            }
        }
        if self.platform.stored.members.len() != self.settings.slots {
            return Err(format!("a slot is no member: {}", self.describe()));
        }
        Ok(())
    }

    /// Describes the record and the live processes for the message of a failed check.
    pub(crate) fn describe(&self) -> String {
        let mut text = format!("at {} µs\n", self.now);
        let record = &self.platform.stored;
        text += &format!("record {}: {:?} {:?}\n", record.version, record.owners, record.hot);
        for (id, member) in &record.members {
            let (term, witnesses, leaving) = (member.term, &member.witnesses, member.leaving);
            let instance = &member.instance;
            text += &format!("  {id} {instance} term {term} by {witnesses:?} leaving {leaving}\n");
        }
        for process in self.processes.iter().filter(|process| process.is_alive) {
            let (id, slot, waits) = (process.node.me(), process.slot, process.node.wait_reason());
            let serving = process.node.serving();
            let left = serving.lease_end.map(|until| until.saturating_sub(process.clock(self.now)));
            text += &format!("  process {id} slot {slot}, version {}", serving.record.version);
            text += &format!(", lease {left:?}, held {:?}, waits for {waits}\n", serving.releasing);
        }
        text
    }
}
