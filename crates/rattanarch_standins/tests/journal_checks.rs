//! The checks of the journals find each kind of violation, and none in a valid history.

use rattanarch_standins::Journal;
use rattanarch_standins::JournalEntry;
use rattanarch_standins::JournalEvent;
use rattanarch_standins::Outcome;
use rattanarch_standins::Violation;
use rattanarch_standins::check_acknowledged;
use rattanarch_standins::check_at_most_once;
use rattanarch_standins::check_exclusive;

/// Builder of a journal.
#[derive(Default)]
struct History {
    journal: Journal,
    runs: u64,
}

impl History {
    fn new(instance: &str) -> Self {
        let instance = instance.to_owned();
        let service = "trade-desk".to_owned();
        let journal = Journal { service, instance, checks_fence: true, ..Journal::default() };
        Self { journal, runs: 0 }
    }

    fn add(&mut self, at_us: u64, event: JournalEvent) {
        self.journal.entries.push_back(JournalEntry { at_us, event });
    }

    fn with_grant(mut self, at_us: u64, fence: u64) -> Self {
        self.add(at_us, JournalEvent::Grant { fence, until_ms: 1_000 });
        self
    }

    fn with_run(
        mut self,
        from_us: u64,
        to_us: u64,
        fence: u64,
        id: &str,
        outcome: Outcome,
    ) -> Self {
        let run = self.runs;
        self.runs += 1;
        let started = JournalEvent::Started {
            run,
            request: id.to_owned(),
            method: "POST".to_owned(),
            path: "/reservations/tank-1".to_owned(),
            key: "tank-1".to_owned(),
            fence: Some(fence),
            idempotency: Some(id.to_owned()),
        };
        self.add(from_us, started);
        self.add(to_us, JournalEvent::Ended { run, outcome });
        self
    }
}

fn journals(histories: Vec<History>) -> Vec<Journal> {
    histories.into_iter().map(|history| history.journal).collect()
}

#[test]
fn valid_history() {
    let a = History::new("a").with_grant(0, 1).with_run(10, 20, 1, "x", Outcome::Done);
    let a = a.with_run(21, 90, 1, "late", Outcome::GrantEnded);
    let a = a.with_grant(60, 5).with_run(65, 70, 5, "z", Outcome::Done);
    let b = History::new("b").with_grant(25, 3).with_run(30, 40, 3, "y", Outcome::Done);
    let all = journals(vec![a, b]);
    assert_eq!(check_exclusive(&all), Ok(()));
    assert_eq!(check_at_most_once(&all), Ok(()));
    assert_eq!(check_acknowledged(&all, &["x".to_owned(), "y".to_owned()]), Ok(()));
}

#[test]
fn two_owners() {
    let a = History::new("a").with_grant(0, 1).with_run(10, 35, 1, "x", Outcome::Done);
    let b = History::new("b").with_grant(25, 3).with_run(30, 40, 3, "y", Outcome::Done);
    assert!(matches!(check_exclusive(&journals(vec![a, b])), Err(Violation::TwoOwners { .. })));
}

#[test]
fn hidden_overlap() {
    // The overlapping run is not the last one that was started at its upstream.
    let a = History::new("a").with_grant(0, 1).with_run(10, 60, 1, "x", Outcome::Done);
    let a = a.with_run(12, 14, 1, "w", Outcome::Done);
    let b = History::new("b").with_grant(25, 3).with_run(30, 31, 3, "y", Outcome::Done);
    assert!(matches!(check_exclusive(&journals(vec![a, b])), Err(Violation::TwoOwners { .. })));
}

#[test]
fn decreasing_fence() {
    let a = History::new("a").with_grant(0, 4).with_grant(10, 3);
    let result = check_exclusive(&journals(vec![a]));
    assert!(
        matches!(result, Err(Violation::FenceDecreased { fence: 3, before: 4, .. })),
        "{result:?}"
    );
}

#[test]
fn wrong_fence() {
    let a = History::new("a").with_grant(0, 4).with_run(10, 20, 3, "x", Outcome::Done);
    let result = check_exclusive(&journals(vec![a]));
    assert!(matches!(result, Err(Violation::WrongFence { .. })), "{result:?}");
}

#[test]
fn late_effect() {
    // The grant ends at 1,000 ms.
    let a = History::new("a").with_grant(0, 4);
    let a = a.with_run(999_000, 1_200_000, 4, "x", Outcome::Done);
    let result = check_exclusive(&journals(vec![a]));
    assert!(matches!(result, Err(Violation::LateEffect { late_us: 200_000, .. })), "{result:?}");
}

#[test]
fn duplicate_write() {
    let a = History::new("a").with_grant(0, 1).with_run(10, 20, 1, "x", Outcome::Done);
    let b = History::new("b").with_grant(25, 3).with_run(30, 40, 3, "x", Outcome::Done);
    let all = journals(vec![a, b]);
    assert!(matches!(check_at_most_once(&all), Err(Violation::DuplicateWrite { .. })));
    let lost = check_acknowledged(&all, &["y".to_owned()]);
    assert!(matches!(lost, Err(Violation::LostWrite { .. })));
}

#[test]
fn dropped_entries() {
    let mut a = History::new("a");
    a.journal.dropped = 1;
    let all = journals(vec![a]);
    for result in [check_exclusive(&all), check_at_most_once(&all), check_acknowledged(&all, &[])] {
        assert!(matches!(result, Err(Violation::Incomplete { .. })));
    }
}
