//! Placement without processes, compared with rendezvous hashing and round robin.

use std::collections::BTreeSet;

use rattanarch_placement::assign_unowned;
use rattanarch_placement::plan_moves;
use rattanarch_placement::rendezvous_weight;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;

use crate::measures::table::Table;

/// Number of slices of a keyed service, as in the process fixtures.
const SLICES: u16 = 144;

/// Figures of a placement method.
struct Figures {
    /// Slices of the member with the most slices divided by the mean.
    imbalance: f64,
    /// Number of slices that move when a member joins.
    join: usize,
    /// Number of slices that move when a member is lost.
    loss: usize,
}

/// Prints the rows for a service of `members` members.
pub(crate) fn measure(members: u64, table: &Table) {
    let rows = [
        ("rattanarch_placement", placement_figures(members)),
        ("rendezvous hashing", baseline_figures(rendezvous, members)),
        ("round robin", baseline_figures(round_robin, members)),
    ];
    for (name, Figures { imbalance, join, loss }) in rows {
        let variant = format!("{name}, {members} members, pure");
        table.add_text("imbalance of slices", &variant, &format!("{imbalance:.2}"));
        let moved = format!("join {join}, loss {loss} of {SLICES}");
        table.add_text("churn, slices moved", &variant, &moved);
    }
}

fn member(id: BootId) -> Member {
    Member {
        instance: format!("slot-{id}"),
        data_centre: format!("centre-{}", id % 4),
        peer: ([127, 0, 0, 1], 7000).into(),
        caller: ([127, 0, 0, 1], 7001).into(),
        slots: 20,
        fence: 0,
        term: 1,
        witnesses: Vec::new(),
        leaving: false,
        releases: 0,
        link_megabits_per_s: 0,
    }
}

fn placement_figures(members: u64) -> Figures {
    let excluded = BTreeSet::new();
    let mut record = Record::new("measures", SLICES);
    record.members = (1..=members).map(|id| (id, member(id))).collect();
    assign_unowned(&mut record, &excluded);
    let owners: Vec<_> = record.owners.iter().flatten().copied().collect();
    let mut joined = record.clone();
    joined.members.insert(members + 1, member(members + 1));
    let join = plan_moves(&joined, &excluded).len();
    let mut remaining = record.clone();
    remaining.members.remove(&1);
    for owner in remaining.owners.iter_mut().filter(|owner| **owner == Some(1)) {
        *owner = None;
    }
    assign_unowned(&mut remaining, &excluded);
    let rebalanced = plan_moves(&remaining, &excluded).len();
    let reassigned = record.owners.iter().zip(&remaining.owners).filter(|(a, b)| a != b).count();
    Figures { imbalance: imbalance(&owners, members), join, loss: reassigned + rebalanced }
}

fn baseline_figures(choose: fn(u64, &[BootId]) -> BootId, members: u64) -> Figures {
    let owners = |ids: &[BootId]| -> Vec<BootId> {
        (0..u64::from(SLICES)).map(|slice| choose(slice, ids)).collect()
    };
    let ids: Vec<BootId> = (1..=members + 1).collect();
    let before = owners(&ids[..ids.len() - 1]);
    let joined = owners(&ids);
    let remaining = owners(&ids[1..ids.len() - 1]);
    let differ = |after: &[BootId]| before.iter().zip(after).filter(|(a, b)| a != b).count();
    Figures {
        imbalance: imbalance(&before, members),
        join: differ(&joined),
        loss: differ(&remaining),
    }
}

fn imbalance(owners: &[BootId], members: u64) -> f64 {
    let count = |id| owners.iter().filter(|owner| **owner == id).count();
    let most = (1..=members).map(count).max().unwrap_or_default();
    most as f64 * members as f64 / owners.len() as f64
}

fn rendezvous(slice: u64, ids: &[BootId]) -> BootId {
    ids.iter().copied().max_by_key(|id| rendezvous_weight(slice, *id)).unwrap_or_default()
}

fn round_robin(slice: u64, ids: &[BootId]) -> BootId {
    ids[slice as usize % ids.len()]
}
