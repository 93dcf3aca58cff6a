//! Responses to queries, dry runs and conditions.

mod operator_support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use operator_support::FakePlatform;
use operator_support::anna;
use operator_support::execute;
use operator_support::expect_accepted;
use operator_support::expect_refused;
use operator_support::process_settings;
use rattanarch_config::OperatorResponse;
use rattanarch_ownership::Serving;
use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::Record;
use rattanarch_types::Version;
use rattanarchd::operator::Fleet;
use rattanarchd::operator::MemberLoad;
use rattanarchd::operator::OperatorApi;
use rattanarchd::operator::Survey;
use rattanarchd::version::View;
use rattanarchd::version::Views;
use serde_json::Value;
use serde_json::json;

/// A fleet with reports set by the test.
#[derive(Default)]
struct FakeFleet {
    versions: Mutex<BTreeMap<BootId, Version>>,
    offered: Mutex<Vec<Version>>,
    survey_count: Mutex<usize>,
}

impl Fleet for FakeFleet {
    fn versions(&self) -> BTreeMap<BootId, Version> {
        self.versions.lock().expect("the lock is not poisoned").clone()
    }

    fn survey(&self, view: &View, configuration: &Configuration) -> Survey {
        *self.survey_count.lock().expect("the lock is not poisoned") += 1;
        Survey::from_reports(view, self.versions(), configuration)
    }

    fn loads(&self) -> BTreeMap<BootId, MemberLoad> {
        BTreeMap::from([(16, MemberLoad { running: 3, limit: 20 })])
    }

    fn error_counts(&self) -> BTreeMap<String, u64> {
        BTreeMap::from([("lease-ended".to_owned(), 2)])
    }

    fn offer_configuration(&self, configuration: &Configuration) {
        self.offered.lock().expect("the lock is not poisoned").push(configuration.version);
    }
}

fn member(instance: &str, data_centre: &str) -> Value {
    json!({
        "instance": instance, "data_centre": data_centre, "peer": "10.0.0.1:1",
        "caller": "10.0.0.1:2", "slots": 20, "term": 1, "witnesses": [], "leaving": false,
    })
}

/// A firm with a service of two members in two data centres, and 3 slices.
struct Fixture {
    platform: FakePlatform,
    api: OperatorApi,
    fleet: Arc<FakeFleet>,
}

fn start() -> Fixture {
    let platform = FakePlatform::start();
    let record = json!({
        "service": "trade-desk", "version": 2, "write_id": 1, "hot": {},
        "members": {"16": member("t1", "hafenhalle"), "17": member("t2", "nordkuehl")},
        "owners": [16, 17, 16],
    });
    platform.store().objects.insert("records/trade-desk".into(), vec![Value::Null, record.clone()]);
    let record: Record = serde_json::from_value(record).expect("a record");
    let serving = Serving { me: 16, record: Arc::new(record), ..Serving::default() };
    let views = Views::default();
    views.publish(View { serving, ..View::default() });
    let fleet = Arc::new(FakeFleet::default());
    let process = process_settings("coop", "trade-desk");
    let api =
        OperatorApi::new(process, views, platform.client(), Arc::clone(&fleet) as Arc<dyn Fleet>);
    for command in [
        "create service trade-desk keyed 3",
        "create service pound-files unkeyed key segment 1 priority urgent timeout 500ms",
        "create data-centre hafenhalle region upper-at",
        "create data-centre nordkuehl region upper-at",
    ] {
        expect_accepted(&execute(&api, &anna(), command));
    }
    Fixture { platform, api, fleet }
}

fn rows(fixture: &Fixture, statement: &str) -> Vec<String> {
    match execute(&fixture.api, &anna(), statement) {
        OperatorResponse::Table { table, notes, .. } => {
            assert!(notes.is_empty(), "{notes:?}");
            table.rows.iter().map(|row| row.join(" ")).collect()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn services_and_rules() {
    let fixture = start();
    assert_eq!(
        rows(&fixture, "show services"),
        ["pound-files unkeyed 1 0 0 0 0", "trade-desk keyed 3 1 0 0 2 2"]
    );
    assert_eq!(
        rows(&fixture, "show rules where service = pound-files"),
        ["pound-files / segment 1 urgent 500"]
    );
}

#[test]
fn upstreams() {
    let fixture = start();
    expect_accepted(&execute(&fixture.api, &anna(), "drain data-centre nordkuehl"));
    let expected = ["t1 0x10 hafenhalle in 2", "t2 0x11 nordkuehl out 1"];
    let columns = "columns instance, boot-id, data-centre, standing, slices";
    assert_eq!(rows(&fixture, &format!("show upstreams {columns}")), expected);
    assert_eq!(rows(&fixture, "show data-centres columns standing, upstreams"), ["in 1", "out 1"]);
    assert_eq!(rows(&fixture, "show load"), ["trade-desk t1 0x10 3 20"]);
    assert_eq!(rows(&fixture, "show refusals"), ["trade-desk lease-ended 2"]);
}

#[test]
fn key_owner() {
    let fixture = start();
    let row = rows(&fixture, "show key tank-17 in trade-desk").concat();
    assert!(row.starts_with("tank-17 trade-desk ") && row.ends_with(" 2 1"), "{row}");
    assert!(rows(&fixture, "show key tank-17 in nothing").is_empty());
}

#[test]
fn audit_over_pages() {
    let fixture = start();
    for round in 0..60 {
        let verb = ["drain", "bring back"][round % 2];
        expect_accepted(&execute(&fixture.api, &anna(), &format!("{verb} data-centre nordkuehl")));
    }
    let serials: Vec<String> = (0..64).map(|serial: u32| serial.to_string()).collect();
    assert_eq!(rows(&fixture, "show audit columns serial"), serials);
    assert_eq!(rows(&fixture, "show audit where serial < 2 columns serial, operator").len(), 2);
    assert_eq!(
        rows(&fixture, "show audit where command ~ pound-files columns operator, object, after"),
        ["anna service pound-files 2"]
    );
}

#[test]
fn dry_run() {
    let fixture = start();
    let response = execute(&fixture.api, &anna(), "dry run take out data-centre nordkuehl");
    let OperatorResponse::DryRun { version, effects, .. } = response else {
        panic!("{response:?}")
    };
    let expected = [
        "version 4 would become 5",
        "service trade-desk: instance t2 takes no more work, 1 slices move",
    ];
    assert_eq!((version, effects), (4, expected.map(String::from).to_vec()));
    assert_eq!(fixture.platform.version_count("coop"), 4);
}

/// The members in the record count as instances, even if the configuration does not list them.
#[test]
fn last_instance() {
    let fixture = start();
    expect_accepted(&execute(&fixture.api, &anna(), "take out upstream t1 in trade-desk"));
    let (reason, _) =
        expect_refused(execute(&fixture.api, &anna(), "take out data-centre nordkuehl"));
    assert!(reason.contains("left without a rule or an instance"), "{reason}");
    expect_accepted(&execute(&fixture.api, &anna(), "take out data-centre nordkuehl twice"));
}

#[test]
fn in_force() {
    let fixture = start();
    let check = |statement: &str| match execute(&fixture.api, &anna(), statement) {
        OperatorResponse::Condition { met, .. } => met,
        other => panic!("{other:?}"),
    };
    let report = |boot, version| {
        fixture.fleet.versions.lock().expect("the lock is not poisoned").insert(boot, version);
    };
    report(16, 4);
    assert!(!check("wait until in force within 1s"));
    report(17, 3);
    report(17, 4);
    assert!(!check("wait until in force within 1s"), "the members of pound-files are unknown");
    assert_eq!(rows(&fixture, "show configuration"), ["coop 4 2 2 0 pound-files"]);
    expect_accepted(&execute(&fixture.api, &anna(), "remove service pound-files twice"));
    report(16, 5);
    report(17, 4);
    assert!(!check("wait until in force within 1s"));
    assert!(check("wait until version 4 in force within 1s"));
    report(17, 5);
    assert!(check("wait until in force within 1s"));
    assert!(check("wait until any upstreams where slices > 1 within 1s"));
    assert!(!check("wait until no upstreams where instance = t2 within 1s"));
    assert_eq!(rows(&fixture, "show configuration"), ["coop 5 2 2 0 "]);
    assert_eq!(*fixture.fleet.offered.lock().expect("the lock is not poisoned"), [1, 2, 3, 4, 5]);
}

/// With another number of slices, keys would not belong to the owners in the stored record.
#[test]
fn changed_slices() {
    let fixture = start();
    expect_accepted(&execute(&fixture.api, &anna(), "remove service trade-desk twice"));
    for sharing in ["keyed 4", "unkeyed"] {
        let create = format!("create service trade-desk {sharing}");
        let (reason, _) = expect_refused(execute(&fixture.api, &anna(), &create));
        assert!(reason.contains("stored record of 3 slices"), "{reason}");
    }
    expect_accepted(&execute(&fixture.api, &anna(), "create service trade-desk keyed 3"));
}

/// A survey of the members takes seconds while some are unreachable, so commands do not wait for
/// it.
#[test]
fn commands_skip_survey() {
    let fixture = start();
    let survey_count = || *fixture.fleet.survey_count.lock().expect("the lock is not poisoned");
    execute(&fixture.api, &anna(), "take out data-centre nordkuehl");
    execute(&fixture.api, &anna(), "take out data-centre nordkuehl");
    assert_eq!(survey_count(), 0);
    execute(&fixture.api, &anna(), "wait until in force within 1s");
    assert_eq!(survey_count(), 1);
}
