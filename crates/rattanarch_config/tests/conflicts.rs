//! Concurrent, stale and repeated commands.

use rattanarch_config::Applied;
use rattanarch_config::Command;
use rattanarch_config::CommandError;
use rattanarch_config::CommandRequest;
use rattanarch_config::Operator;
use rattanarch_config::apply;
use rattanarch_types::Configuration;
use rattanarch_types::Sharing;
use rattanarch_types::Standing;

fn request(name: &str, command: Command) -> CommandRequest {
    CommandRequest::new(Operator::of_firm(name, "coop"), command)
}

fn changed(before: &Configuration, request: &CommandRequest) -> Configuration {
    match apply(before, request) {
        Ok(Applied::Changed(next)) => next,
        other => panic!("{other:?}"),
    }
}

fn create(service: &str) -> Command {
    let sharing = Sharing::Keyed(144);
    Command::CreateService { service: service.into(), sharing, route: Default::default() }
}

fn instance(standing: Standing) -> Command {
    Command::SetInstance { service: "trade-desk".into(), instance: "t1".into(), standing }
}

fn base() -> Configuration {
    let empty = Configuration { firm: "coop".into(), ..Configuration::default() };
    changed(&empty, &request("anna", create("trade-desk")))
}

/// A command is refused with the latest conflicting change if its object has changed since the version that was seen.
#[test]
fn same_object() {
    let base = base();
    let winner = changed(&base, &request("anna", instance(Standing::Out)));
    let winner = changed(&winner, &request("anna", instance(Standing::In)));
    let late = request("berta", instance(Standing::Out)).with_seen(Some(base.version));
    let error = apply(&winner, &late).unwrap_err();
    assert_eq!(error.winner().map(|entry| &*entry.operator), Some("anna"));
    assert_eq!(error.winner().map(|entry| entry.after), Some(3));
}

/// Removing a service conflicts with a later command on one of its instances.
#[test]
fn containing_object() {
    let base = base();
    let remove = Command::RemoveService { service: "trade-desk".into() };
    let winner = changed(&base, &request("anna", remove).with_confirmed(true));
    let late = request("berta", instance(Standing::Out)).with_seen(Some(base.version));
    assert!(
        matches!(apply(&winner, &late), Err(CommandError::Conflict(entry)) if entry.operator == "anna")
    );
}

/// Commands on different objects do not conflict.
#[test]
fn other_object() {
    let base = base();
    let winner = changed(&base, &request("anna", create("pound-files")));
    let late = request("berta", instance(Standing::Out)).with_seen(Some(base.version));
    assert_eq!(changed(&winner, &late).version, 3);
}

/// Two commands with the same effect do not conflict.
#[test]
fn same_outcome() {
    let base = base();
    let winner = changed(&base, &request("anna", instance(Standing::Out)));
    let late = request("berta", instance(Standing::Out)).with_seen(Some(base.version));
    assert_eq!(apply(&winner, &late), Ok(Applied::AlreadySo));
}

#[test]
fn expected_version() {
    let base = base();
    let request = request("anna", instance(Standing::Out));
    let stale = request.clone().with_expected(Some(0));
    let error = CommandError::VersionMismatch { firm: "coop".into(), expected: 0, found: 1 };
    assert_eq!(apply(&base, &stale), Err(error));
    assert_eq!(changed(&base, &request.with_expected(Some(1))).version, 2);
}

/// A request that is repeated with its write id does nothing, even if another command has reverted it meanwhile.
#[test]
fn repeated_request() {
    let first = request("anna", instance(Standing::Out)).with_write_id(7);
    let taken_out = changed(&base(), &first);
    let reverted = changed(&taken_out, &request("berta", instance(Standing::In)).with_write_id(8));
    assert_eq!(apply(&reverted, &first), Ok(Applied::AlreadySo));
}

/// Without the entries since the version that was seen, a conflict cannot be ruled out.
#[test]
fn seen_too_old() {
    let mut next = base();
    next.trail.start = 1;
    next.trail.entries.clear();
    let late = request("berta", instance(Standing::Out)).with_seen(Some(0));
    assert!(matches!(apply(&next, &late), Err(CommandError::SeenTooOld { seen: 0, .. })));
}

/// Creating a service again succeeds only if it is the same.
#[test]
fn existing_differs() {
    let route = rattanarch_config::RouteChange {
        timeout: Some(std::time::Duration::from_secs(1)),
        ..Default::default()
    };
    let sharing = Sharing::Keyed(144);
    let other = Command::CreateService { service: "trade-desk".into(), sharing, route };
    assert_eq!(apply(&base(), &request("anna", create("trade-desk"))), Ok(Applied::AlreadySo));
    let error = apply(&base(), &request("anna", other)).unwrap_err();
    assert!(matches!(error, CommandError::Exists { .. }));
}
