//! What queries, dry runs and conditions answer.

mod operator_support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use operator_support::Fake;
use operator_support::accepted;
use operator_support::anna;
use operator_support::process;
use operator_support::refused;
use operator_support::say;
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

/// Members' reports as the test sets them.
#[derive(Default)]
struct Reports {
    versions: Mutex<BTreeMap<BootId, Version>>,
    spread: Mutex<Vec<Version>>,
    surveys: Mutex<usize>,
}

impl Fleet for Reports {
    fn versions(&self) -> BTreeMap<BootId, Version> {
        self.versions.lock().expect("no panic").clone()
    }

    fn survey(&self, view: &View, configuration: &Configuration) -> Survey {
        *self.surveys.lock().expect("no panic") += 1;
        Survey::from_reports(view, self.versions(), configuration)
    }

    fn loads(&self) -> BTreeMap<BootId, MemberLoad> {
        BTreeMap::from([(16, MemberLoad { running: 3, limit: 20 })])
    }

    fn refusals(&self) -> BTreeMap<String, u64> {
        BTreeMap::from([("lease-ended".to_owned(), 2)])
    }

    fn offer_configuration(&self, configuration: &Configuration) {
        self.spread.lock().expect("no panic").push(configuration.version);
    }
}

fn member(instance: &str, data_centre: &str) -> Value {
    json!({
        "instance": instance, "data_centre": data_centre, "peer": "10.0.0.1:1",
        "caller": "10.0.0.1:2", "slots": 20, "term": 1, "witnesses": [], "leaving": false,
    })
}

/// A firm with a service of two members in two data centres, and 3 slices.
struct Scene {
    fake: Fake,
    desk: OperatorApi,
    reports: Arc<Reports>,
}

fn scene() -> Scene {
    let fake = Fake::start();
    let record = json!({
        "service": "trade-desk", "version": 2, "write_id": 1, "hot": {},
        "members": {"16": member("t1", "hafenhalle"), "17": member("t2", "nordkuehl")},
        "owners": [16, 17, 16],
    });
    fake.store().objects.insert("records/trade-desk".into(), vec![Value::Null, record.clone()]);
    let record: Record = serde_json::from_value(record).expect("a record");
    let serving = Serving { me: 16, record: Arc::new(record), ..Serving::default() };
    let views = Views::default();
    views.publish(View { serving, ..View::default() });
    let reports = Arc::new(Reports::default());
    let process = process("coop", "trade-desk");
    let desk =
        OperatorApi::new(process, views, fake.platform(), Arc::clone(&reports) as Arc<dyn Fleet>);
    for command in [
        "create service trade-desk keyed 3",
        "create service pound-files unkeyed key segment 1 priority urgent timeout 500ms",
        "create data-centre hafenhalle region upper-at",
        "create data-centre nordkuehl region upper-at",
    ] {
        accepted(&say(&desk, &anna(), command));
    }
    Scene { fake, desk, reports }
}

fn rows(scene: &Scene, statement: &str) -> Vec<String> {
    match say(&scene.desk, &anna(), statement) {
        OperatorResponse::Table { table, notes, .. } => {
            assert!(notes.is_empty(), "{notes:?}");
            table.rows.iter().map(|row| row.join(" ")).collect()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn services_and_rules() {
    let scene = scene();
    assert_eq!(
        rows(&scene, "show services"),
        ["pound-files unkeyed 1 0 0 0 0", "trade-desk keyed 3 1 0 0 2 2"]
    );
    assert_eq!(
        rows(&scene, "show rules where service = pound-files"),
        ["pound-files / segment 1 urgent 500"]
    );
}

#[test]
fn upstreams() {
    let scene = scene();
    accepted(&say(&scene.desk, &anna(), "drain data-centre nordkuehl"));
    let wanted = ["t1 0x10 hafenhalle in 2", "t2 0x11 nordkuehl out 1"];
    let columns = "columns instance, boot-id, data-centre, standing, slices";
    assert_eq!(rows(&scene, &format!("show upstreams {columns}")), wanted);
    assert_eq!(rows(&scene, "show data-centres columns standing, upstreams"), ["in 1", "out 1"]);
    assert_eq!(rows(&scene, "show load"), ["trade-desk t1 0x10 3 20"]);
    assert_eq!(rows(&scene, "show refusals"), ["trade-desk lease-ended 2"]);
}

#[test]
fn key_owner() {
    let scene = scene();
    let row = rows(&scene, "show key tank-17 in trade-desk").concat();
    assert!(row.starts_with("tank-17 trade-desk ") && row.ends_with(" 2 1"), "{row}");
    assert!(rows(&scene, "show key tank-17 in nothing").is_empty());
}

#[test]
fn audit_over_pages() {
    let scene = scene();
    for round in 0..60 {
        let verb = ["drain", "bring back"][round % 2];
        accepted(&say(&scene.desk, &anna(), &format!("{verb} data-centre nordkuehl")));
    }
    let serials: Vec<String> = (0..64).map(|serial: u32| serial.to_string()).collect();
    assert_eq!(rows(&scene, "show audit columns serial"), serials);
    assert_eq!(rows(&scene, "show audit where serial < 2 columns serial, operator").len(), 2);
    assert_eq!(
        rows(&scene, "show audit where command ~ pound-files columns operator, object, after"),
        ["anna service pound-files 2"]
    );
}

#[test]
fn dry_run() {
    let scene = scene();
    let answer = say(&scene.desk, &anna(), "dry run take out data-centre nordkuehl");
    let OperatorResponse::DryRun { version, effects, .. } = answer else { panic!("{answer:?}") };
    let wanted = [
        "version 4 would become 5",
        "service trade-desk: instance t2 takes no more work, 1 slices move",
    ];
    assert_eq!((version, effects), (4, wanted.map(String::from).to_vec()));
    assert_eq!(scene.fake.versions("coop"), 4);
}

/// The members of the record count as places, whatever the configuration lists.
#[test]
fn last_place() {
    let scene = scene();
    accepted(&say(&scene.desk, &anna(), "take out upstream t1 in trade-desk"));
    let (reason, _) = refused(say(&scene.desk, &anna(), "take out data-centre nordkuehl"));
    assert!(reason.contains("left without a rule or an instance"), "{reason}");
    accepted(&say(&scene.desk, &anna(), "take out data-centre nordkuehl twice"));
}

#[test]
fn in_force() {
    let scene = scene();
    let check = |statement: &str| match say(&scene.desk, &anna(), statement) {
        OperatorResponse::Condition { met, .. } => met,
        other => panic!("{other:?}"),
    };
    let report = |boot, version| {
        scene.reports.versions.lock().expect("no panic").insert(boot, version);
    };
    report(16, 4);
    assert!(!check("wait until in force within 1s"));
    report(17, 3);
    report(17, 4);
    assert!(!check("wait until in force within 1s"), "the members of pound-files are not known");
    assert_eq!(rows(&scene, "show configuration"), ["coop 4 2 2 0 pound-files"]);
    accepted(&say(&scene.desk, &anna(), "remove service pound-files twice"));
    report(16, 5);
    report(17, 4);
    assert!(!check("wait until in force within 1s"));
    assert!(check("wait until version 4 in force within 1s"));
    report(17, 5);
    assert!(check("wait until in force within 1s"));
    assert!(check("wait until any upstreams where slices > 1 within 1s"));
    assert!(!check("wait until no upstreams where instance = t2 within 1s"));
    assert_eq!(rows(&scene, "show configuration"), ["coop 5 2 2 0 "]);
    assert_eq!(*scene.reports.spread.lock().expect("no panic"), [1, 2, 3, 4, 5]);
}

/// Keys would fall into other slices than the owners in the stored record have.
#[test]
fn other_slices() {
    let scene = scene();
    accepted(&say(&scene.desk, &anna(), "remove service trade-desk twice"));
    for sharing in ["keyed 4", "unkeyed"] {
        let create = format!("create service trade-desk {sharing}");
        let (reason, _) = refused(say(&scene.desk, &anna(), &create));
        assert!(reason.contains("stored record of 3 slices"), "{reason}");
    }
    accepted(&say(&scene.desk, &anna(), "create service trade-desk keyed 3"));
}

/// To ask members takes seconds while some are cut off: a command's answer must not wait for it.
#[test]
fn commands_ask_nobody() {
    let scene = scene();
    let surveys = || *scene.reports.surveys.lock().expect("no panic");
    say(&scene.desk, &anna(), "take out data-centre nordkuehl");
    say(&scene.desk, &anna(), "take out data-centre nordkuehl");
    assert_eq!(surveys(), 0);
    say(&scene.desk, &anna(), "wait until in force within 1s");
    assert_eq!(surveys(), 1);
}
