//! Concurrent commands of several operators.
//!
//! Guards against two accepted commands that conflict, refusals that do not name the accepted
//! command, and gaps in the audit trail.

mod operator_support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Barrier;
use std::thread;

use operator_support::FakePlatform;
use operator_support::anna;
use operator_support::execute;
use operator_support::expect_accepted;
use operator_support::expect_refused;
use operator_support::new_api;
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

fn new_apis(platform: &FakePlatform) -> Vec<Arc<OperatorApi>> {
    let new = || Arc::new(new_api(platform, "coop", "trade-desk", &Views::default()));
    (0..WRITERS).map(|_| new()).collect()
}

/// Executes `statement(writer, round)` by all writers at the same time, round by round.
fn race(
    platform: &FakePlatform,
    statement: fn(usize, usize) -> String,
) -> Vec<(Operator, OperatorResponse)> {
    let barrier = Barrier::new(WRITERS);
    thread::scope(|scope| {
        let run = |writer: usize, api: Arc<OperatorApi>| {
            let operator = Operator::of_firm(format!("operator-{writer}"), "coop");
            let barrier = &barrier;
            scope.spawn(move || {
                let round = |round| {
                    barrier.wait();
                    (operator.clone(), execute(&api, &operator, &statement(writer, round)))
                };
                (0..ROUNDS).map(round).collect::<Vec<_>>()
            })
        };
        let threads =
            new_apis(platform).into_iter().enumerate().map(|(writer, api)| run(writer, api));
        let threads: Vec<_> = threads.collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no writer panics")).collect()
    })
}

/// Checks that accepted changes and audit entries match one to one, and versions have no gaps.
fn check_trail(
    platform: &FakePlatform,
    outcomes: &[(Operator, OperatorResponse)],
    existing: usize,
) {
    let entries = platform.audit_entries("coop");
    assert_eq!(
        entries.len(),
        platform.version_count("coop"),
        "versions and audit entries differ in number"
    );
    for (serial, entry) in entries.iter().enumerate() {
        assert_eq!((entry.serial, entry.after), (serial as u64, serial as u64 + 1));
    }
    let by_write: BTreeMap<_, _> = entries.iter().map(|entry| (entry.write_id, entry)).collect();
    assert_eq!(by_write.len(), entries.len(), "a write took effect twice");
    let mut accepted = 0;
    for (operator, response) in outcomes {
        assert!(!matches!(response, OperatorResponse::Unknown { .. }), "{response:?}");
        let OperatorResponse::Accepted { version, write_id, .. } = response else { continue };
        accepted += 1;
        let entry = by_write[write_id];
        assert_eq!((&entry.operator, entry.after), (&operator.name, *version));
    }
    assert_eq!(
        accepted + existing,
        entries.len(),
        "accepted responses and audit entries differ in number"
    );
}

fn is_accepted(outcome: &(Operator, OperatorResponse)) -> bool {
    matches!(outcome.1, OperatorResponse::Accepted { .. })
}

#[test]
fn different_objects() {
    let platform = FakePlatform::start();
    let outcomes = race(&platform, |writer, round| {
        format!("create data-centre dc-{writer}-{round} region upper-at")
    });
    assert!(outcomes.iter().all(is_accepted), "{outcomes:?}");
    check_trail(&platform, &outcomes, 0);
}

#[test]
fn lost_answers() {
    let platform = FakePlatform::start();
    platform.store().loss_interval = 3;
    let outcomes = race(&platform, |writer, round| {
        format!("create data-centre dc-{writer}-{round} region upper-at")
    });
    assert!(outcomes.iter().all(is_accepted), "{outcomes:?}");
    check_trail(&platform, &outcomes, 0);
}

/// All writers write different regions to one data centre. The refusal of each loser names the
/// winner.
#[test]
fn same_object() {
    let platform = FakePlatform::start();
    let first = new_api(&platform, "coop", "trade-desk", &Views::default());
    expect_accepted(&execute(&first, &anna(), "create data-centre nordkuehl region upper-at"));
    platform.store().loss_interval = 4;
    let outcomes = race(&platform, |writer, round| {
        format!("change data-centre nordkuehl region r-{writer}-{round}")
    });
    check_trail(&platform, &outcomes, 1);
    for (operator, response) in &outcomes {
        if let OperatorResponse::NotAccepted { reason, winner, .. } = response {
            let winner = winner.as_ref().unwrap_or_else(|| panic!("{reason}"));
            assert_ne!(winner.operator, operator.name);
            assert!(reason.contains(&winner.command), "{reason}");
        }
    }
    let region =
        platform.current_value("configuration/coop")["data_centres"]["nordkuehl"]["region"].clone();
    let last = platform.audit_entries("coop").pop().expect("an audit entry");
    assert_eq!(
        last.command,
        format!("change data-centre nordkuehl region {}", region.as_str().unwrap())
    );
}

/// Adds a change by berta that takes effect between the read and the write of the next command.
fn add_pending(platform: &FakePlatform, command: Command) {
    let path = "configuration/coop";
    let before: Configuration =
        serde_json::from_value(platform.current_value(path)).expect("a configuration");
    let request = CommandRequest::new(Operator::of_firm("berta", "coop"), command).with_write_id(7);
    let Ok(Applied::Changed(next)) = apply(&before, &request) else {
        panic!("the change was refused")
    };
    let expected = before.version as usize;
    platform.store().pending_writes.push((path.to_owned(), expected, serde_json::json!(next)));
}

fn change_region(name: &str, region: &str) -> Command {
    Command::ChangeDataCentre { name: name.into(), region: region.into() }
}

fn two_data_centres() -> (FakePlatform, OperatorApi) {
    let platform = FakePlatform::start();
    let api = new_api(&platform, "coop", "trade-desk", &Views::default());
    expect_accepted(&execute(&api, &anna(), "create data-centre nordkuehl region upper-at"));
    expect_accepted(&execute(&api, &anna(), "create data-centre welsdepot region upper-at"));
    (platform, api)
}

#[test]
fn lost_race() {
    let (platform, api) = two_data_centres();
    add_pending(&platform, change_region("nordkuehl", "r-1"));
    let (_, winner) =
        expect_refused(execute(&api, &anna(), "change data-centre nordkuehl region r-2"));
    assert_eq!(winner.map(|entry| (entry.operator, entry.after)), Some(("berta".into(), 3)));
    assert_eq!(platform.version_count("coop"), 3);
}

#[test]
fn unrelated_race() {
    let (platform, api) = two_data_centres();
    add_pending(&platform, change_region("welsdepot", "r-1"));
    assert_eq!(
        expect_accepted(&execute(&api, &anna(), "change data-centre nordkuehl region r-2")),
        4
    );
}

/// Of two changes based on the same version, exactly one is accepted.
#[test]
fn seen_version() {
    let platform = FakePlatform::start();
    let api = new_api(&platform, "coop", "trade-desk", &Views::default());
    let seen =
        expect_accepted(&execute(&api, &anna(), "create data-centre nordkuehl region upper-at"));
    let change = |name: &str, region: &str| {
        let statement = format!("change data-centre nordkuehl region {region}");
        let request = OperatorRequest {
            statement,
            seen: Some(SeenVersion { firm: "coop".into(), version: seen }),
            ..OperatorRequest::default()
        };
        api.execute(&Operator::of_firm(name, "coop"), &request)
    };
    expect_accepted(&change("berta", "r-1"));
    let (reason, winner) = expect_refused(change("cilli", "r-2"));
    assert_eq!(winner.expect("a winner").operator, "berta");
    assert!(reason.starts_with("data centre nordkuehl was changed first by berta"), "{reason}");
}

#[test]
fn expected_version() {
    let platform = FakePlatform::start();
    let api = new_api(&platform, "coop", "trade-desk", &Views::default());
    expect_accepted(&execute(
        &api,
        &anna(),
        "create data-centre nordkuehl region upper-at at version 0",
    ));
    let second = "create data-centre welsdepot region upper-at at version 0";
    let (reason, _) = expect_refused(execute(&api, &anna(), second));
    assert_eq!(reason, "firm \"coop\" is at version 1, not at the expected 0");
}

#[test]
fn repeated_command() {
    let platform = FakePlatform::start();
    let api = new_api(&platform, "coop", "trade-desk", &Views::default());
    let create = "create data-centre nordkuehl region upper-at";
    expect_accepted(&execute(&api, &anna(), create));
    let repeat = execute(&api, &anna(), create);
    assert!(matches!(repeat, OperatorResponse::AlreadySo { version: 1, .. }), "{repeat:?}");
    assert_eq!(platform.version_count("coop"), 1);
}
