//! Record changes that peers get in place of the whole record.

use rattanarch_dissemination::RecordHistory;
use rattanarch_types::Member;
use rattanarch_types::Record;
use rattanarch_types::Version;

/// A record of two members, in which the first slice changes its owner with each version.
fn record(version: Version) -> Record {
    let member = |id: u64| Member {
        instance: format!("slot-{id}"),
        data_centre: "centre-0".to_owned(),
        peer: ([127, 0, 0, 1], 7_000).into(),
        caller: ([127, 0, 0, 1], 7_001).into(),
        slots: 11,
        fence: 1,
        term: 1,
        witnesses: Vec::new(),
        leaving: false,
        releases: version / 2,
        link_megabits_per_s: 200,
    };
    let mut record = Record::new("trade-desk", 8);
    record.version = version;
    record.members.extend([(1, member(1)), (2, member(2))]);
    record.owners = vec![Some(1); 8];
    record.owners[0] = Some(1 + version % 2);
    record
}

fn history(versions: std::ops::Range<Version>) -> RecordHistory {
    let mut history = RecordHistory::default();
    for version in versions {
        history.push_between(&record(version), &record(version + 1));
    }
    history
}

/// A peer with any of the last versions is brought up to date.
#[test]
fn catches_up() {
    let history = history(3..20);
    for known in 3..20 {
        let changes = history.since(known).expect("a kept version");
        let newest = changes.iter().try_fold(record(known), |record, change| change.apply(record));
        assert_eq!(newest, Some(record(20)), "from {known}");
    }
}

/// A peer gets no changes if its version is 0, no longer kept, the newest or unknown; a part of the changes would leave
/// it with a wrong record.
#[test]
fn no_changes() {
    let history = history(3..200);
    for known in [0, 3, 100, 200, 201] {
        assert_eq!(history.since(known), None, "from {known}");
    }
    assert!(history.since(180).is_some());
}

/// If versions were skipped between two fetched records, one change covers the gap; a peer at a skipped version gets no
/// changes.
#[test]
fn over_gaps() {
    let mut history = history(3..6);
    history.push_between(&record(6), &record(11));
    let changes = history.since(5).expect("a kept version");
    assert_eq!(changes.iter().map(|change| change.to).collect::<Vec<_>>(), [6, 11]);
    assert_eq!(history.since(8), None);
}

/// Changes that do not follow on each other are never given as one chain.
#[test]
fn broken_chain() {
    let mut history = history(3..6);
    history.push_between(&record(9), &record(10));
    assert_eq!(history.since(4), None);
    assert_eq!(history.since(9).map(|changes| changes.len()), Some(1));
    let other = Record { service: "files".to_owned(), ..record(12) };
    history.push_between(&record(10), &other);
    assert_eq!(history.since(9), None, "another record");
}
