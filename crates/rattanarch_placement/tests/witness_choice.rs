//! Witnesses are in different data centres, and witness duty is evenly distributed.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use quickcheck::quickcheck;
use rattanarch_placement::MAX_WITNESSES;
use rattanarch_placement::choose_witnesses;
use rattanarch_types::BootId;
use rattanarch_types::Record;

use support::member;
use support::service;

/// Members join one by one, each with the witnesses that it chooses; then each updates its choice
/// twice.
fn joined(members: u64, centres: u64) -> Record {
    let mut record = service(0, centres, 1);
    for id in 1..=members {
        record.members.insert(id, member(id, centres));
        choose(&mut record, id);
    }
    for id in (1..=members).chain(1..=members) {
        choose(&mut record, id);
    }
    record
}

fn choose(record: &mut Record, id: BootId) {
    let witnesses = choose_witnesses(record, id, &BTreeSet::new());
    if let Some(member) = record.members.get_mut(&id) {
        member.witnesses = witnesses;
    }
}

fn centre(record: &Record, id: BootId) -> &str {
    &record.members[&id].data_centre
}

quickcheck! {
    fn chosen_are_eligible(members: u8, leaving: Vec<u8>, excluded: Vec<u8>) -> bool {
        let members = u64::from(members % 30) + 1;
        let mut record = joined(members, 4);
        for id in leaving {
            if let Some(member) = record.members.get_mut(&(u64::from(id) % members)) {
                member.leaving = true;
            }
        }
        let excluded: BTreeSet<BootId> = excluded.into_iter().map(u64::from).collect();
        record.members.keys().all(|owner| {
            let chosen = choose_witnesses(&record, *owner, &excluded);
            let distinct: BTreeSet<_> = chosen.iter().collect();
            let odd = chosen.is_empty() || chosen.len() % 2 == 1;
            odd && distinct.len() == chosen.len() && chosen.iter().all(|id| {
                id != owner && !record.members[id].leaving && !excluded.contains(id)
            })
        })
    }

    fn stable_choice(members: u8) -> bool {
        let record = joined(u64::from(members % 30) + 1, 4);
        record.members.iter().all(|(id, member)| {
            choose_witnesses(&record, *id, &BTreeSet::new()) == member.witnesses
        })
    }
}

#[test]
fn spread_centres() {
    for members in [8, 9, 64] {
        let record = joined(members, 4);
        for (id, member) in &record.members {
            let centres: BTreeSet<_> =
                member.witnesses.iter().map(|witness| centre(&record, *witness)).collect();
            assert_eq!(centres.len(), MAX_WITNESSES, "{id} of {members}");
            assert!(!centres.contains(member.data_centre.as_str()));
        }
    }
}

#[test]
fn even_duty() {
    for members in [8, 9, 64] {
        let record = joined(members, 4);
        let mut duty = BTreeMap::new();
        for witness in record.members.values().flat_map(|member| &member.witnesses) {
            *duty.entry(*witness).or_insert(0) += 1;
        }
        let most = duty.values().max().copied().unwrap_or(0);
        eprintln!("{members} members: at most {most} owners a witness");
        assert!(most <= 2 * MAX_WITNESSES);
    }
}

#[test]
fn one_lost() {
    // Only members that a lost member witnessed choose another witness, and they keep the other two.
    let mut record = joined(9, 3);
    record.members.remove(&4);
    for (id, member) in &record.members {
        let chosen = choose_witnesses(&record, *id, &BTreeSet::new());
        let kept = member.witnesses.iter().filter(|witness| chosen.contains(witness)).count();
        let others = member.witnesses.iter().filter(|witness| **witness != 4).count();
        assert_eq!(kept, others, "{id}");
    }
}
