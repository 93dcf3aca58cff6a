//! Fences that a newer process of a daemon keeps for its upstream.

use std::sync::Arc;

use rattanarch_ownership::KeptFences;
use rattanarch_types::Member;
use rattanarch_types::Record;

const OLD: u64 = 6;
const ME: u64 = 7;
const OTHER: u64 = 8;

/// A record at `version` in which `own` is the member of the instance `a`, with owners and fencing tokens by slice.
fn record(version: u64, own: u64, owners: &[(u64, u64)]) -> Arc<Record> {
    let member = |name: &str| Member {
        instance: name.to_owned(),
        data_centre: "hafenhalle".to_owned(),
        peer: ([127, 0, 0, 1], 7000).into(),
        caller: ([127, 0, 0, 1], 7001).into(),
        slots: 18,
        fence: 1,
        term: 1,
        witnesses: Vec::new(),
        leaving: false,
        releases: 0,
        link_megabits_per_s: 0,
    };
    let mut record = Record::new("trade-desk", owners.len() as u16);
    record.version = version;
    record.members.insert(own, member("a"));
    record.members.insert(OTHER, member("b"));
    record.owners = owners.iter().map(|(owner, _)| Some(*owner)).collect();
    record.fences = owners.iter().map(|(_, fence)| *fence).collect();
    Arc::new(record)
}

/// The fence of a slice that the upstream has held since the earlier process got it stays.
#[test]
fn held_since() {
    let mut kept = KeptFences::default();
    kept.report([(0, 9), (1, 9)]);
    kept.apply_record(&record(20, OLD, &[(OLD, 9), (OTHER, 12)]), ME);
    let kept = kept.apply_record(&record(21, ME, &[(ME, 21), (OTHER, 12)]), ME);
    assert_eq!(kept.into_iter().collect::<Vec<_>>(), [(0, 9)]);
}

/// Guards against a fence from a heartbeat that is older than the record: another member had the slice under 12.
#[test]
fn moved_since() {
    let mut kept = KeptFences::default();
    kept.report([(0, 9)]);
    kept.apply_record(&record(20, OLD, &[(OLD, 15)]), ME);
    assert!(kept.apply_record(&record(21, ME, &[(ME, 21)]), ME).is_empty());
}

/// Versions that were not applied may have given slices to others.
#[test]
fn version_skipped() {
    let mut kept = KeptFences::default();
    kept.report([(0, 9)]);
    kept.apply_record(&record(20, OLD, &[(OLD, 9)]), ME);
    assert!(kept.apply_record(&record(22, ME, &[(ME, 22)]), ME).is_empty());
}

/// A fence that no record has given out is not kept.
#[test]
fn above_version() {
    let mut kept = KeptFences::default();
    kept.report([(0, 90)]);
    kept.apply_record(&record(20, OLD, &[(OLD, 9)]), ME);
    assert!(kept.apply_record(&record(21, ME, &[(ME, 21)]), ME).is_empty());
}
