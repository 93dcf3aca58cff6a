//! Racing, stale and repeated commands.

use rattanarch_config::Applied;
use rattanarch_config::Command;
use rattanarch_config::CommandError;
use rattanarch_config::CommandRequest;
use rattanarch_config::Operator;
use rattanarch_config::apply;
use rattanarch_types::Configuration;
use rattanarch_types::Sharing;
use rattanarch_types::Standing;

fn order(name: &str, command: Command) -> CommandRequest {
    CommandRequest::new(Operator::of_firm(name, "coop"), command)
}

fn changed(before: &Configuration, order: &CommandRequest) -> Configuration {
    match apply(before, order) {
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
    changed(&empty, &order("anna", create("trade-desk")))
}

#[test]
fn same_object() {
    let base = base();
    let won = changed(&base, &order("anna", instance(Standing::Out)));
    let won = changed(&won, &order("anna", instance(Standing::In)));
    let late = order("berta", instance(Standing::Out)).with_seen(Some(base.version));
    let error = apply(&won, &late).unwrap_err();
    assert_eq!(error.winner().map(|entry| &*entry.operator), Some("anna"));
    assert_eq!(error.winner().map(|entry| entry.after), Some(3));
}

#[test]
fn containing_object() {
    let base = base();
    let remove = Command::RemoveService { service: "trade-desk".into() };
    let won = changed(&base, &order("anna", remove).with_confirmed(true));
    let late = order("berta", instance(Standing::Out)).with_seen(Some(base.version));
    assert!(
        matches!(apply(&won, &late), Err(CommandError::Conflict(entry)) if entry.operator == "anna")
    );
}

#[test]
fn other_object() {
    let base = base();
    let won = changed(&base, &order("anna", create("pound-files")));
    let late = order("berta", instance(Standing::Out)).with_seen(Some(base.version));
    assert_eq!(changed(&won, &late).version, 3);
}

#[test]
fn same_outcome() {
    let base = base();
    let won = changed(&base, &order("anna", instance(Standing::Out)));
    let late = order("berta", instance(Standing::Out)).with_seen(Some(base.version));
    assert_eq!(apply(&won, &late), Ok(Applied::AlreadySo));
}

#[test]
fn expected_version() {
    let base = base();
    let order = order("anna", instance(Standing::Out));
    let stale = order.clone().with_expected(Some(0));
    let error = CommandError::VersionMismatch { firm: "coop".into(), expected: 0, found: 1 };
    assert_eq!(apply(&base, &stale), Err(error));
    assert_eq!(changed(&base, &order.with_expected(Some(1))).version, 2);
}

/// A repeat by write id does nothing, even after another command undid the first.
#[test]
fn repeated_order() {
    let first = order("anna", instance(Standing::Out)).with_write_id(7);
    let out = changed(&base(), &first);
    let back = changed(&out, &order("berta", instance(Standing::In)).with_write_id(8));
    assert_eq!(apply(&back, &first), Ok(Applied::AlreadySo));
}

#[test]
fn seen_too_old() {
    let mut next = base();
    next.trail.start = 1;
    next.trail.entries.clear();
    let late = order("berta", instance(Standing::Out)).with_seen(Some(0));
    assert!(matches!(apply(&next, &late), Err(CommandError::SeenTooOld { seen: 0, .. })));
}

#[test]
fn existing_differs() {
    let route = rattanarch_config::RouteChange {
        timeout: Some(std::time::Duration::from_secs(1)),
        ..Default::default()
    };
    let sharing = Sharing::Keyed(144);
    let other = Command::CreateService { service: "trade-desk".into(), sharing, route };
    assert_eq!(apply(&base(), &order("anna", create("trade-desk"))), Ok(Applied::AlreadySo));
    let error = apply(&base(), &order("anna", other)).unwrap_err();
    assert!(matches!(error, CommandError::Exists { .. }));
}
