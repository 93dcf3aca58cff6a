//! With the platform down or behind, answers tell their age and nothing goes back.

mod operator_support;

use std::sync::Arc;
use std::time::Duration;

use operator_support::Fake;
use operator_support::accepted;
use operator_support::anna;
use operator_support::desk;
use operator_support::refused;
use operator_support::say;
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

fn shown(desk: &OperatorApi) -> (Vec<String>, u64, Vec<String>) {
    match say(desk, &anna(), STANDING) {
        OperatorResponse::Table { table, age_ms, notes, .. } => {
            (table.rows.concat(), age_ms, notes)
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn known_with_age() {
    let fake = Fake::start();
    let desk = desk(&fake, "coop", "trade-desk", &Views::default());
    accepted(&say(&desk, &anna(), CREATE));
    assert_eq!(shown(&desk), (vec!["in".to_owned()], 0, vec![]));
    fake.store().down = true;
    std::thread::sleep(Duration::from_millis(20));
    let (rows, age_ms, notes) = shown(&desk);
    assert_eq!(rows, ["in"]);
    assert!(age_ms >= 20, "{age_ms}");
    assert!(notes[0].contains("did not take the call"), "{notes:?}");
    refused(say(&desk, &anna(), TAKE_OUT));
}

/// A daemon that never read the platform answers from what its peers told it.
#[test]
fn known_from_view() {
    let fake = Fake::start();
    fake.store().down = true;
    let mut configuration =
        Configuration { firm: "coop".into(), version: 9, ..Configuration::default() };
    configuration.data_centres.insert("nordkuehl".into(), DataCentre::default());
    let views = Views::default();
    let confirmed_at = Some(Clock.now());
    views.publish(View { configuration: Arc::new(configuration), confirmed_at, ..View::default() });
    let desk = desk(&fake, "coop", "trade-desk", &views);
    let answer = say(&desk, &anna(), "show data-centres");
    let OperatorResponse::Table { version, table, .. } = answer else { panic!("{answer:?}") };
    assert_eq!((version, table.rows.len()), (9, 1));
}

#[test]
fn never_read() {
    let fake = Fake::start();
    fake.store().down = true;
    let desk = desk(&fake, "coop", "trade-desk", &Views::default());
    let (rows, _, notes) = shown(&desk);
    assert!(rows.is_empty());
    assert!(notes.iter().any(|note| note == "parts of this were never read"), "{notes:?}");
}

#[test]
fn stale_reads() {
    let fake = Fake::start();
    let desk = desk(&fake, "coop", "trade-desk", &Views::default());
    accepted(&say(&desk, &anna(), CREATE));
    accepted(&say(&desk, &anna(), TAKE_OUT));
    accepted(&say(&desk, &anna(), BRING_BACK));
    fake.store().stale_reads = 2;
    assert_eq!(shown(&desk).0, ["in"]);
    // On the outdated version 2 this would be "already so", and not be done.
    fake.store().stale_reads = 2;
    assert_eq!(accepted(&say(&desk, &anna(), TAKE_OUT)), 4);
    fake.store().stale_reads = 100;
    let (rows, _, notes) = shown(&desk);
    assert_eq!(rows, ["out"]);
    assert!(notes[0].contains("outdated version 3"), "{notes:?}");
}

/// The view may hold a copy without the trail; a command must not store it.
#[test]
fn trail_kept() {
    let fake = Fake::start();
    let views = Views::default();
    let desk = desk(&fake, "coop", "trade-desk", &views);
    accepted(&say(&desk, &anna(), CREATE));
    let stored: Configuration =
        serde_json::from_value(fake.value("configuration/coop")).expect("a configuration");
    let configuration = Arc::new(stored.without_trail());
    views.publish(View { configuration, ..View::default() });
    accepted(&say(&desk, &anna(), TAKE_OUT));
    assert_eq!(fake.entries("coop").len(), 2);
}

/// Each call may take a whole timeout, so an answer costs one, however many services there are.
#[test]
fn one_call() {
    let fake = Fake::start();
    let desk = desk(&fake, "coop", "trade-desk", &Views::default());
    accepted(&say(&desk, &anna(), "create service trade-desk keyed 3"));
    accepted(&say(&desk, &anna(), "create service pound-files unkeyed"));
    fake.store().down = true;
    fake.store().calls = 0;
    let answer = say(&desk, &anna(), "show services");
    assert!(matches!(answer, OperatorResponse::Table { ref table, .. } if table.rows.len() == 2));
    assert_eq!(fake.store().calls, 1);
}
