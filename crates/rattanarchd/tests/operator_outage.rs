//! While the platform is down or returns old versions, responses state their age, and versions do
//! not decrease.

mod operator_support;

use std::sync::Arc;
use std::time::Duration;

use operator_support::FakePlatform;
use operator_support::anna;
use operator_support::execute;
use operator_support::expect_accepted;
use operator_support::expect_refused;
use operator_support::new_api;
use rattanarch_config::OperatorResponse;
use rattanarch_types::Configuration;
use rattanarch_types::DataCentre;
use rattanarchd::operator::OperatorApi;
use rattanarchd::process::Clock;
use rattanarchd::version::View;
use rattanarchd::version::Views;

const CREATE: &str = "create data-centre nordkuehl region upper-at";
const TAKE_OUT: &str = "take out data-centre nordkuehl twice";
const BRING_BACK: &str = "bring back data-centre nordkuehl";
const STANDING: &str = "show data-centres columns standing";

/// Rows, age in ms, and notes of the query for standings.
fn query_standing(api: &OperatorApi) -> (Vec<String>, u64, Vec<String>) {
    match execute(api, &anna(), STANDING) {
        OperatorResponse::Table { table, age_ms, notes, .. } => {
            (table.rows.concat(), age_ms, notes)
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn cached_with_age() {
    let platform = FakePlatform::start();
    let api = new_api(&platform, "coop", "trade-desk", &Views::default());
    expect_accepted(&execute(&api, &anna(), CREATE));
    assert_eq!(query_standing(&api), (vec!["in".to_owned()], 0, vec![]));
    platform.store().down = true;
    std::thread::sleep(Duration::from_millis(20));
    let (rows, age_ms, notes) = query_standing(&api);
    assert_eq!(rows, ["in"]);
    assert!(age_ms >= 20, "{age_ms}");
    assert!(notes[0].contains("did not execute the call"), "{notes:?}");
    expect_refused(execute(&api, &anna(), TAKE_OUT));
}

/// A daemon that has never read from the platform responds from the configuration in its view.
#[test]
fn cached_view() {
    let platform = FakePlatform::start();
    platform.store().down = true;
    let mut configuration =
        Configuration { firm: "coop".into(), version: 9, ..Configuration::default() };
    configuration.data_centres.insert("nordkuehl".into(), DataCentre::default());
    let views = Views::default();
    let confirmed_at = Some(Clock.now());
    views.publish(View { configuration: Arc::new(configuration), confirmed_at, ..View::default() });
    let api = new_api(&platform, "coop", "trade-desk", &views);
    let response = execute(&api, &anna(), "show data-centres");
    let OperatorResponse::Table { version, table, .. } = response else { panic!("{response:?}") };
    assert_eq!((version, table.rows.len()), (9, 1));
}

#[test]
fn never_read() {
    let platform = FakePlatform::start();
    platform.store().down = true;
    let api = new_api(&platform, "coop", "trade-desk", &Views::default());
    let (rows, _, notes) = query_standing(&api);
    assert!(rows.is_empty());
    assert!(notes.iter().any(|note| note == "parts of this were never read"), "{notes:?}");
}

#[test]
fn stale_reads() {
    let platform = FakePlatform::start();
    let api = new_api(&platform, "coop", "trade-desk", &Views::default());
    expect_accepted(&execute(&api, &anna(), CREATE));
    expect_accepted(&execute(&api, &anna(), TAKE_OUT));
    expect_accepted(&execute(&api, &anna(), BRING_BACK));
    platform.store().stale_reads = 2;
    assert_eq!(query_standing(&api).0, ["in"]);
    // Version 2 is outdated; based on it, the command would have nothing to change.
    platform.store().stale_reads = 2;
    assert_eq!(expect_accepted(&execute(&api, &anna(), TAKE_OUT)), 4);
    platform.store().stale_reads = 100;
    let (rows, _, notes) = query_standing(&api);
    assert_eq!(rows, ["out"]);
    assert!(notes[0].contains("outdated version 3"), "{notes:?}");
}

/// The view may contain a configuration without its trail, which a command must not store.
#[test]
fn trail_kept() {
    let platform = FakePlatform::start();
    let views = Views::default();
    let api = new_api(&platform, "coop", "trade-desk", &views);
    expect_accepted(&execute(&api, &anna(), CREATE));
    let stored: Configuration =
        serde_json::from_value(platform.current_value("configuration/coop"))
            .expect("a configuration");
    let configuration = Arc::new(stored.without_trail());
    views.publish(View { configuration, ..View::default() });
    expect_accepted(&execute(&api, &anna(), TAKE_OUT));
    assert_eq!(platform.audit_entries("coop").len(), 2);
}

/// Each call may take a full timeout, so a query makes one call for any number of services.
#[test]
fn single_call() {
    let platform = FakePlatform::start();
    let api = new_api(&platform, "coop", "trade-desk", &Views::default());
    expect_accepted(&execute(&api, &anna(), "create service trade-desk keyed 3"));
    expect_accepted(&execute(&api, &anna(), "create service pound-files unkeyed"));
    platform.store().down = true;
    platform.store().calls = 0;
    let response = execute(&api, &anna(), "show services");
    assert!(matches!(response, OperatorResponse::Table { ref table, .. } if table.rows.len() == 2));
    assert_eq!(platform.store().calls, 1);
}
