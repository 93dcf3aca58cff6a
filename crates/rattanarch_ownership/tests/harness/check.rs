//! Invariants of the protocol.

use rattanarch_types::BootId;
use rattanarch_types::KeyHash;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use super::Process;
use super::World;

impl World {
    /// One key of each slice, and the keys that may be hot.
    pub fn keys(&self) -> Vec<KeyHash> {
        let slices = u64::from(self.setting.slices);
        if slices == 0 {
            return Vec::new();
        }
        let step = u64::MAX / slices;
        let slice_keys = (0..slices).map(|slice| slice * step + step / 2);
        slice_keys.chain((0..4).map(Self::hot_key)).collect()
    }

    /// A key that `Fault::Heat` names.
    pub fn hot_key(key: u8) -> KeyHash {
        let step = u64::MAX / 4;
        u64::from(key % 4) * step + step / 3
    }

    /// Processes that a request for `hash` could run at now. One whose upstream has taken the
    /// fence of a newer process runs none.
    pub fn servers(&self, hash: KeyHash) -> Vec<usize> {
        let serves = |index: &usize| {
            let process = &self.processes[*index];
            let fenced = process.fence > 0 && self.holders[process.slot] != *index;
            !fenced && process.serves(self.now, hash)
        };
        (0..self.processes.len()).filter(serves).collect()
    }

    /// After a step of the process `index`: no key is served twice, and it has not gone back to an
    /// older record.
    ///
    /// Time alone ends service and never begins it, so that only the steps of a process that widen
    /// what it serves can break the first.
    pub fn check(&mut self, index: usize) -> Result<(), String> {
        let now = self.now;
        let process = &mut self.processes[index];
        let serving = process.node.serving().clone();
        if serving.record.version < process.checked.record.version {
            return Err(format!("{now} µs: process {index} went back to an older record"));
        }
        let lapsed = process.checked.lease_end.is_none_or(|until| until <= process.clock(now));
        let same = serving.record.version == process.checked.record.version
            && serving.held == process.checked.held
            && serving.held_hot == process.checked.held_hot;
        process.granted = process.granted.max(serving.lease_end.unwrap_or_default());
        process.checked = serving;
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

    /// An update changes no one's slices but its writer's, those of members that hold them for this, and
    /// those of members it takes out, and who is taken out serves nothing any more.
    pub fn check_write(&self, writer: BootId, new: &Record) -> Result<(), String> {
        new.check().map_err(|error| error.to_string())?;
        let old = &self.platform.stored;
        let kept = |owner: &BootId| *owner != writer && new.members.contains_key(owner);
        for (slice, owner) in old.owners.iter().enumerate() {
            let taken = owner.filter(kept).filter(|_| new.owners[slice] != *owner);
            if taken.is_some_and(|owner| !self.holds(owner, slice as SliceId)) {
                return Err(format!("{writer} takes slice {slice} from {owner:?}, a member"));
            }
        }
        for (key, owner) in old.hot.iter().filter(|(_, owner)| kept(owner)) {
            if new.hot.get(key) != Some(owner) {
                return Err(format!("{writer} takes key {key:#x} from {owner}, a member"));
            }
        }
        let gone = |id: &&BootId| **id != writer && !new.members.contains_key(id);
        for gone in old.members.keys().filter(gone) {
            self.check_gone(*gone)?;
        }
        Ok(())
    }

    /// Whether `owner` keeps from serving `slice`, which it has given up, until a record settles that.
    fn holds(&self, owner: BootId, slice: SliceId) -> bool {
        let mut lives = self.processes.iter().filter(|process| process.node.me() == owner);
        lives.all(|process| process.node.serving().held.contains(&slice))
    }

    /// No upstream holds a grant of the member `gone` any more: a request that passed its check
    /// may still be on its way, also if the process has ended. One that leaves has ended all work and holds what it owns,
    /// whoever writes its departure.
    fn check_gone(&self, gone: BootId) -> Result<(), String> {
        let granted = |(index, process): &(usize, &Process)| {
            let fenced = process.fence > 0 && self.holders[process.slot] != *index;
            process.node.me() == gone && !fenced && process.clock(self.now) < process.granted
        };
        let owns = self.platform.stored.owners.contains(&Some(gone));
        match self.processes.iter().enumerate().find(granted) {
            Some((_, process)) if owns && !self.departs(process) => {
                Err(format!("{} µs: {gone} is taken out with a grant", self.now))
            }
            _ => Ok(()),
        }
    }

    /// Whether `process` has wished to leave and holds all that it owns.
    fn departs(&self, process: &Process) -> bool {
        let me = process.node.me();
        process.departing && self.platform.stored.slices_of(me).all(|slice| self.holds(me, slice))
    }

    /// Every live slot is a member, and every key is served.
    pub fn check_whole(&self) -> Result<(), String> {
        for hash in self.keys() {
            if self.servers(hash).is_empty() {
                let owner = self.platform.stored.owner_of(hash);
                return Err(format!("key {hash:#x} of {owner:?} is unserved: {}", self.describe()));
            }
        }
        if self.platform.stored.members.len() != self.setting.slots {
            return Err(format!("a slot is no member: {}", self.describe()));
        }
        Ok(())
    }

    /// The record and the live processes, for a failed check.
    fn describe(&self) -> String {
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
            text += &format!(", lease {left:?}, held {:?}, waits for {waits}\n", serving.held);
        }
        text
    }
}
