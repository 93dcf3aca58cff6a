//! Size limits of the stored configuration and audit trail.

mod operator_support;

use operator_support::FakePlatform;
use operator_support::anna;
use operator_support::execute;
use operator_support::expect_accepted;
use operator_support::expect_refused;
use operator_support::new_api;
use rattanarch_config::MAX_TRAIL_ENTRIES;
use rattanarch_types::Configuration;
use rattanarch_types::Route;
use rattanarch_types::Service;
use rattanarchd::version::Views;
use serde_json::json;

/// While audit pages cannot be written, the trail keeps all entries, and changes are refused once
/// it is full.
#[test]
fn pages_unavailable() {
    let platform = FakePlatform::start();
    let api = new_api(&platform, "coop", "trade-desk", &Views::default());
    platform.store().pages_down = true;
    expect_accepted(&execute(&api, &anna(), "create data-centre nordkuehl region r-0"));
    for round in 1..MAX_TRAIL_ENTRIES {
        let change = format!("change data-centre nordkuehl region r-{round}");
        expect_accepted(&execute(&api, &anna(), &change));
    }
    let last = "change data-centre nordkuehl region r-last";
    let (reason, _) = expect_refused(execute(&api, &anna(), last));
    assert!(reason.starts_with("the audit trail"), "{reason}");
    assert_eq!(platform.audit_entries("coop").len(), MAX_TRAIL_ENTRIES);
}

/// Once audit pages can be written again, the next command moves old entries into pages.
#[test]
fn pages_restored() {
    let platform = FakePlatform::start();
    let api = new_api(&platform, "coop", "trade-desk", &Views::default());
    platform.store().pages_down = true;
    for round in 0..200 {
        expect_accepted(&execute(
            &api,
            &anna(),
            &format!("create data-centre dc-{round} region r"),
        ));
    }
    platform.store().pages_down = false;
    expect_accepted(&execute(&api, &anna(), "create data-centre dc-200 region r"));
    let trail = platform.current_value("configuration/coop")["trail"].clone();
    assert_eq!((&trail["start"], platform.audit_entries("coop").len()), (&json!(185), 201));
}

#[test]
fn configuration_limit() {
    let platform = FakePlatform::start();
    let api = new_api(&platform, "coop", "trade-desk", &Views::default());
    let mut large = Configuration { firm: "coop".into(), version: 1, ..Configuration::default() };
    let route = |n| Route::default().with_prefix(format!("/{n:0>200}"));
    let service = Service { routes: (0..60).map(route).collect(), ..Service::default() };
    large.services = (0..60).map(|n| (format!("s-{n}"), service.clone())).collect();
    platform.store().objects.insert("configuration/coop".into(), vec![json!(large)]);
    let (reason, _) =
        expect_refused(execute(&api, &anna(), "create data-centre nordkuehl region r"));
    assert!(reason.contains("bytes, more than 921600"), "{reason}");
    assert_eq!(platform.version_count("coop"), 1);
}
