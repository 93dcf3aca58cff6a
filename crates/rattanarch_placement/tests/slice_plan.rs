//! Members own slices in proportion to their slots, and few slices move.

mod support;

use std::collections::BTreeSet;

use quickcheck::quickcheck;
use rattanarch_placement::plan_moves;
use rattanarch_placement::rendezvous_weight;
use rattanarch_placement::target_counts;
use rattanarch_types::BootId;
use rattanarch_types::Record;

use support::apply_plan;
use support::member;
use support::remove_member;
use support::service;

fn counts(record: &Record) -> Vec<usize> {
    record.members.keys().map(|id| record.slices_of(*id).count()).collect()
}

quickcheck! {
    fn within_target(members: u8, slices: u16, slots: Vec<u16>) -> bool {
        let mut record = service(u64::from(members % 70) + 1, 4, slices % 4_097);
        for (member, slots) in record.members.values_mut().zip(slots) {
            member.slots = slots.max(1);
        }
        let none_excluded = BTreeSet::new();
        apply_plan(&mut record, &none_excluded);
        let targets = target_counts(&record, &none_excluded);
        targets.values().sum::<usize>() == record.owners.len()
            && targets.iter().all(|(id, target)| record.slices_of(*id).count() == *target)
            && plan_moves(&record, &none_excluded).is_empty()
    }

    fn excluded_own_nothing(members: u8, out: Vec<u8>) -> bool {
        let members = u64::from(members % 20) + 2;
        let mut record = service(members, 4, 144);
        let excluded: BTreeSet<BootId> = out.iter().map(|id| u64::from(*id) % members).collect();
        apply_plan(&mut record, &excluded);
        excluded.iter().all(|id| record.slices_of(*id).next().is_none())
    }

    fn few_moves(members: u8, slices: u16) -> bool {
        let members = u64::from(members % 70) + 1;
        let mut record = service(members, 4, slices % 4_097);
        record.members.insert(members + 1, member(members + 1, 4));
        let none_excluded = BTreeSet::new();
        let target = target_counts(&record, &none_excluded)[&(members + 1)];
        apply_plan(&mut record, &none_excluded) == target
    }
}

#[test]
fn all_excluded() {
    let record = service(3, 3, 12);
    let all = BTreeSet::from([1, 2, 3]);
    assert!(plan_moves(&record, &all).is_empty());
}

/// Most slices of a member in percent of the mean, and slices that move when a member joins and when one is lost.
struct Figures {
    imbalance: usize,
    join: usize,
    loss: usize,
}

/// Figures for owners chosen by `choose`, which takes a slice and the members.
fn figures_of(choose: fn(u64, &[BootId]) -> BootId, members: u64, slices: u64) -> Figures {
    let all: Vec<_> = (1..=members).collect();
    let more: Vec<_> = (1..=members + 1).collect();
    let fewer: Vec<_> = (2..=members).collect();
    let owners = |ids: &[BootId]| (0..slices).map(|slice| choose(slice, ids)).collect::<Vec<_>>();
    let (before, joined, lost) = (owners(&all), owners(&more), owners(&fewer));
    let differ = |a: &[BootId], b: &[BootId]| a.iter().zip(b).filter(|(a, b)| a != b).count();
    let most = all.iter().map(|id| before.iter().filter(|owner| *owner == id).count()).max();
    Figures {
        imbalance: most.unwrap_or_default() * 100 * all.len() / before.len(),
        join: differ(&before, &joined),
        loss: differ(&before, &lost),
    }
}

fn planned(members: u64, slices: u16) -> Figures {
    let none_excluded = BTreeSet::new();
    let mut record = service(members, 4, slices);
    let most = counts(&record).into_iter().max().unwrap_or_default();
    let imbalance = most * 100 * record.members.len() / record.owners.len();
    let mut joined = record.clone();
    joined.members.insert(members + 1, member(members + 1, 4));
    let join = apply_plan(&mut joined, &none_excluded);
    let loss = remove_member(&mut record, 1) + apply_plan(&mut record, &none_excluded);
    Figures { imbalance, join, loss }
}

fn rendezvous(slice: u64, ids: &[BootId]) -> BootId {
    ids.iter().copied().max_by_key(|id| rendezvous_weight(slice, *id)).unwrap_or_default()
}

fn round_robin(slice: u64, ids: &[BootId]) -> BootId {
    ids[slice as usize % ids.len()]
}

#[test]
fn against_baselines() {
    eprintln!("members slices | way         | most/mean % | moved by join | moved by loss");
    for (members, slices) in [(8, 128), (9, 144), (64, 1_024)] {
        let rows = [
            ("plan", planned(members, slices)),
            ("rendezvous", figures_of(rendezvous, members, u64::from(slices))),
            ("round robin", figures_of(round_robin, members, u64::from(slices))),
        ];
        for (name, row) in &rows {
            let Figures { imbalance, join, loss } = row;
            eprintln!(
                "{members:7} {slices:6} | {name:11} | {imbalance:11} | {join:13} | {loss:13}"
            );
        }
        let [(_, plan), (_, rendezvous), (_, round_robin)] = rows;
        assert!(plan.imbalance <= 100 + 100 * members as usize / usize::from(slices));
        assert!(plan.imbalance < rendezvous.imbalance);
        assert!(plan.join * 4 < round_robin.join && plan.loss * 4 < round_robin.loss);
    }
}
