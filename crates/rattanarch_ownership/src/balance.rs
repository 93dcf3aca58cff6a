//! Schedule of this member's releases of slices for balance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_placement::Move;
use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;
use rattanarch_types::Version;

use crate::core::Core;

/// This member's moves under one record version.
#[derive(Debug, Default)]
pub(crate) struct Balance {
    version: Version,
    excluded: BTreeSet<BootId>,
    moves: Vec<Move>,
    turn: Moment,
    slices: BTreeMap<SliceId, Option<BootId>>,
}

impl Balance {
    /// Slices that this member is to release now, each with its receiver if one is planned.
    pub(crate) fn due(&mut self, core: &Core, now: Moment) -> BTreeMap<SliceId, Option<BootId>> {
        let Some(record) = core.record.as_deref() else { return BTreeMap::new() };
        if self.version != record.version || self.excluded != core.excluded {
            self.schedule(core, record);
        }
        if now < self.turn { BTreeMap::new() } else { self.slices.clone() }
    }

    /// Schedules this member's moves. Barred members release at once, the others in the order of
    /// the plan, a turn apart. The first one waits for a heartbeat, in which further joins and
    /// losses may arrive.
    fn schedule(&mut self, core: &Core, record: &Record) {
        self.version = record.version;
        self.excluded.clone_from(&core.excluded);
        let moves = core.spread.plan_moves(record, &core.excluded);
        if core.spread == Spread::ByLoad && moves == self.moves {
            // The record has changed in other ways only; the schedule stays.
            return;
        }
        let mine: Vec<&Move> = moves.iter().filter(|change| change.from == core.me).collect();
        // Even shares are computed again when the update is written; a move to itself names no
        // receiver.
        let receiver = |change: &Move| {
            (core.spread == Spread::ByLoad && change.to != core.me).then_some(change.to)
        };
        let turn = core.applied_at
            + core.timing.heartbeat
            + core.timing.turn * givers_before(&moves, core);
        // A member that is waiting for its turn keeps it: updates of others come in bursts.
        let waits = !self.slices.is_empty() && !mine.is_empty();
        self.turn = if waits { turn.min(self.turn) } else { turn };
        if core.excluded.contains(&core.me) {
            self.turn = core.applied_at;
        }
        self.slices = mine.iter().map(|change| (change.slice, receiver(change))).collect();
        self.moves = moves;
    }
}

/// Number of releasing members that come before this one in the plan.
fn givers_before(moves: &[Move], core: &Core) -> u32 {
    let givers = moves.chunk_by(|a, b| a.from == b.from);
    givers.take_while(|moves| moves[0].from != core.me).count() as u32
}

/// Hot keys of this member, which all return to the owners of their slices.
pub(crate) fn own_hot_keys(core: &Core, record: &Record) -> BTreeMap<KeyHash, Option<BootId>> {
    let mine = record.hot.iter().filter(|(_, owner)| **owner == core.me);
    mine.map(|(key, _)| (*key, None)).collect()
}
