//! Bounds of what is stored.

mod operator_support;

use operator_support::Fake;
use operator_support::accepted;
use operator_support::anna;
use operator_support::desk;
use operator_support::refused;
use operator_support::say;
use rattanarch_config::MAX_TRAIL_ENTRIES;
use rattanarch_types::Configuration;
use rattanarch_types::Route;
use rattanarch_types::Service;
use rattanarchd::version::Views;
use serde_json::json;

/// While pages cannot be written, the trail holds every entry; then nothing may change any more.
#[test]
fn pages_down() {
    let fake = Fake::start();
    let desk = desk(&fake, "coop", "trade-desk", &Views::default());
    fake.store().pages_down = true;
    accepted(&say(&desk, &anna(), "create data-centre nordkuehl region r-0"));
    for round in 1..MAX_TRAIL_ENTRIES {
        let change = format!("change data-centre nordkuehl region r-{round}");
        accepted(&say(&desk, &anna(), &change));
    }
    let last = "change data-centre nordkuehl region r-last";
    let (reason, _) = refused(say(&desk, &anna(), last));
    assert!(reason.starts_with("the audit trail"), "{reason}");
    assert_eq!(fake.entries("coop").len(), MAX_TRAIL_ENTRIES);
}

/// Once pages can be written again, the next command moves the long trail.
#[test]
fn pages_back() {
    let fake = Fake::start();
    let desk = desk(&fake, "coop", "trade-desk", &Views::default());
    fake.store().pages_down = true;
    for round in 0..200 {
        accepted(&say(&desk, &anna(), &format!("create data-centre dc-{round} region r")));
    }
    fake.store().pages_down = false;
    accepted(&say(&desk, &anna(), "create data-centre dc-200 region r"));
    let trail = fake.value("configuration/coop")["trail"].clone();
    assert_eq!((&trail["start"], fake.entries("coop").len()), (&json!(185), 201));
}

#[test]
fn too_large() {
    let fake = Fake::start();
    let desk = desk(&fake, "coop", "trade-desk", &Views::default());
    let mut large = Configuration { firm: "coop".into(), version: 1, ..Configuration::default() };
    let route = |n| Route::default().with_prefix(format!("/{n:0>200}"));
    let service = Service { routes: (0..60).map(route).collect(), ..Service::default() };
    large.services = (0..60).map(|n| (format!("s-{n}"), service.clone())).collect();
    fake.store().objects.insert("configuration/coop".into(), vec![json!(large)]);
    let (reason, _) = refused(say(&desk, &anna(), "create data-centre nordkuehl region r"));
    assert!(reason.contains("bytes, more than 921600"), "{reason}");
    assert_eq!(fake.versions("coop"), 1);
}
