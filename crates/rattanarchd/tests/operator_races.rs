//! Racing operators: one wins, the loser is told, the trail stays whole.

mod operator_support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Barrier;
use std::thread;

use operator_support::Fake;
use operator_support::accepted;
use operator_support::anna;
use operator_support::desk;
use operator_support::refused;
use operator_support::say;
use rattanarch_config::Applied;
use rattanarch_config::Command;
use rattanarch_config::CommandRequest;
use rattanarch_config::Operator;
use rattanarch_config::OperatorRequest;
use rattanarch_config::OperatorResponse;
use rattanarch_config::SeenVersion;
use rattanarch_config::apply;
use rattanarch_types::Configuration;
use rattanarchd::operator::OperatorApi;
use rattanarchd::version::Views;

const WRITERS: usize = 6;
const ROUNDS: usize = 12;

fn desks(fake: &Fake) -> Vec<Arc<OperatorApi>> {
    let one = || Arc::new(desk(fake, "coop", "trade-desk", &Views::default()));
    (0..WRITERS).map(|_| one()).collect()
}

/// Says `statement(writer, round)` by all writers at the same time, round by round.
fn race(fake: &Fake, statement: fn(usize, usize) -> String) -> Vec<(Operator, OperatorResponse)> {
    let barrier = Barrier::new(WRITERS);
    thread::scope(|scope| {
        let run = |writer: usize, desk: Arc<OperatorApi>| {
            let operator = Operator::of_firm(format!("operator-{writer}"), "coop");
            let barrier = &barrier;
            scope.spawn(move || {
                let round = |round| {
                    barrier.wait();
                    (operator.clone(), say(&desk, &operator, &statement(writer, round)))
                };
                (0..ROUNDS).map(round).collect::<Vec<_>>()
            })
        };
        let threads = desks(fake).into_iter().enumerate().map(|(writer, desk)| run(writer, desk));
        let threads: Vec<_> = threads.collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
    })
}

/// Each accepted change has one entry, each entry an accepted change, and versions have no gaps.
fn check_trail(fake: &Fake, outcomes: &[(Operator, OperatorResponse)], made_before: usize) {
    let entries = fake.entries("coop");
    assert_eq!(entries.len(), fake.versions("coop"), "one entry a version");
    for (serial, entry) in entries.iter().enumerate() {
        assert_eq!((entry.serial, entry.after), (serial as u64, serial as u64 + 1));
    }
    let by_write: BTreeMap<_, _> = entries.iter().map(|entry| (entry.write_id, entry)).collect();
    assert_eq!(by_write.len(), entries.len(), "no write took effect twice");
    let mut accepted = 0;
    for (operator, answer) in outcomes {
        assert!(!matches!(answer, OperatorResponse::Unknown { .. }), "{answer:?}");
        let OperatorResponse::Accepted { version, write_id, .. } = answer else { continue };
        accepted += 1;
        let entry = by_write[write_id];
        assert_eq!((&entry.operator, entry.after), (&operator.name, *version));
    }
    assert_eq!(accepted + made_before, entries.len(), "each entry was told as accepted");
}

fn is_accepted(outcome: &(Operator, OperatorResponse)) -> bool {
    matches!(outcome.1, OperatorResponse::Accepted { .. })
}

#[test]
fn different_objects() {
    let fake = Fake::start();
    let outcomes = race(&fake, |writer, round| {
        format!("create data-centre dc-{writer}-{round} region upper-at")
    });
    assert!(outcomes.iter().all(is_accepted), "{outcomes:?}");
    check_trail(&fake, &outcomes, 0);
}

#[test]
fn lost_answers() {
    let fake = Fake::start();
    fake.store().lose_each = 3;
    let outcomes = race(&fake, |writer, round| {
        format!("create data-centre dc-{writer}-{round} region upper-at")
    });
    assert!(outcomes.iter().all(is_accepted), "{outcomes:?}");
    check_trail(&fake, &outcomes, 0);
}

/// All write different regions to one data centre: the losers of a race are told who won it.
#[test]
fn same_object() {
    let fake = Fake::start();
    let first = desk(&fake, "coop", "trade-desk", &Views::default());
    accepted(&say(&first, &anna(), "create data-centre nordkuehl region upper-at"));
    fake.store().lose_each = 4;
    let outcomes = race(&fake, |writer, round| {
        format!("change data-centre nordkuehl region r-{writer}-{round}")
    });
    check_trail(&fake, &outcomes, 1);
    for (operator, answer) in &outcomes {
        if let OperatorResponse::NotAccepted { reason, winner, .. } = answer {
            let winner = winner.as_ref().unwrap_or_else(|| panic!("{reason}"));
            assert_ne!(winner.operator, operator.name);
            assert!(reason.contains(&winner.command), "{reason}");
        }
    }
    let region = fake.value("configuration/coop")["data_centres"]["nordkuehl"]["region"].clone();
    let last = fake.entries("coop").pop().expect("entries");
    assert_eq!(
        last.command,
        format!("change data-centre nordkuehl region {}", region.as_str().unwrap())
    );
}

/// Puts a change by berta on its way, which lands between the desk's read and its write.
fn overtake(fake: &Fake, command: Command) {
    let path = "configuration/coop";
    let before: Configuration = serde_json::from_value(fake.value(path)).expect("a configuration");
    let order = CommandRequest::new(Operator::of_firm("berta", "coop"), command).with_write_id(7);
    let Ok(Applied::Changed(next)) = apply(&before, &order) else { panic!("refused") };
    let expect = before.version as usize;
    fake.store().on_way.push((path.to_owned(), expect, serde_json::json!(next)));
}

fn region(name: &str, region: &str) -> Command {
    Command::ChangeDataCentre { name: name.into(), region: region.into() }
}

fn two_data_centres() -> (Fake, OperatorApi) {
    let fake = Fake::start();
    let desk = desk(&fake, "coop", "trade-desk", &Views::default());
    accepted(&say(&desk, &anna(), "create data-centre nordkuehl region upper-at"));
    accepted(&say(&desk, &anna(), "create data-centre welsdepot region upper-at"));
    (fake, desk)
}

#[test]
fn lost_race() {
    let (fake, desk) = two_data_centres();
    overtake(&fake, region("nordkuehl", "r-1"));
    let (_, winner) = refused(say(&desk, &anna(), "change data-centre nordkuehl region r-2"));
    assert_eq!(winner.map(|entry| (entry.operator, entry.after)), Some(("berta".into(), 3)));
    assert_eq!(fake.versions("coop"), 3);
}

#[test]
fn race_elsewhere() {
    let (fake, desk) = two_data_centres();
    overtake(&fake, region("welsdepot", "r-1"));
    assert_eq!(accepted(&say(&desk, &anna(), "change data-centre nordkuehl region r-2")), 4);
}

/// Both decided on the same version: exactly one wins.
#[test]
fn seen_version() {
    let fake = Fake::start();
    let desk = desk(&fake, "coop", "trade-desk", &Views::default());
    let seen = accepted(&say(&desk, &anna(), "create data-centre nordkuehl region upper-at"));
    let change = |name: &str, region: &str| {
        let statement = format!("change data-centre nordkuehl region {region}");
        let request = OperatorRequest {
            statement,
            seen: Some(SeenVersion { firm: "coop".into(), version: seen }),
            ..OperatorRequest::default()
        };
        desk.execute(&Operator::of_firm(name, "coop"), &request)
    };
    accepted(&change("berta", "r-1"));
    let (reason, winner) = refused(change("cilli", "r-2"));
    assert_eq!(winner.expect("a winner").operator, "berta");
    assert!(reason.starts_with("data centre nordkuehl was changed first by berta"), "{reason}");
}

#[test]
fn expected_version() {
    let fake = Fake::start();
    let desk = desk(&fake, "coop", "trade-desk", &Views::default());
    accepted(&say(&desk, &anna(), "create data-centre nordkuehl region upper-at at version 0"));
    let late = "create data-centre welsdepot region upper-at at version 0";
    let (reason, _) = refused(say(&desk, &anna(), late));
    assert_eq!(reason, "firm \"coop\" is at version 1, not at the expected 0");
}

#[test]
fn repeats_are_harmless() {
    let fake = Fake::start();
    let desk = desk(&fake, "coop", "trade-desk", &Views::default());
    let create = "create data-centre nordkuehl region upper-at";
    accepted(&say(&desk, &anna(), create));
    let again = say(&desk, &anna(), create);
    assert!(matches!(again, OperatorResponse::AlreadySo { version: 1, .. }), "{again:?}");
    assert_eq!(fake.versions("coop"), 1);
}
