//! Operators can neither read nor change the services of another firm, except operators on rota.

mod operator_support;

use operator_support::FakePlatform;
use operator_support::anna;
use operator_support::execute;
use operator_support::expect_accepted;
use operator_support::expect_refused;
use operator_support::juan;
use operator_support::new_api;
use operator_support::rita;
use rattanarch_config::OperatorResponse;
use rattanarchd::operator::OperatorApi;
use rattanarchd::version::Views;

const CREATE: &str = "create service trade-desk keyed 144";
const TAKE_OUT: &str = "take out upstream t1 in trade-desk twice";

fn new_coop_api(platform: &FakePlatform) -> OperatorApi {
    let api = new_api(platform, "coop", "trade-desk", &Views::default());
    expect_accepted(&execute(&api, &anna(), CREATE));
    api
}

#[test]
fn other_firm_change() {
    let platform = FakePlatform::start();
    let api = new_coop_api(&platform);
    let before = platform.current_value("configuration/coop");
    let (reason, _) = expect_refused(execute(&api, &juan(), TAKE_OUT));
    assert!(reason.contains("belongs to firm \"coop\""), "{reason}");
    let (reason, _) = expect_refused(execute(&api, &juan(), &format!("{TAKE_OUT} for coop")));
    assert!(reason.contains("may not act for firm \"coop\""), "{reason}");
    assert_eq!(platform.current_value("configuration/coop"), before);
}

#[test]
fn other_firm_query() {
    let platform = FakePlatform::start();
    let api = new_coop_api(&platform);
    let response = execute(&api, &juan(), "show services for coop");
    assert!(matches!(response, OperatorResponse::Failed { .. }), "{response:?}");
    let OperatorResponse::Table { firm, table, .. } = execute(&api, &juan(), "show services")
    else {
        panic!()
    };
    assert_eq!((firm.as_str(), table.rows.len()), ("aguas", 0));
}

#[test]
fn taken_name() {
    let platform = FakePlatform::start();
    let api = new_coop_api(&platform);
    let (reason, _) = expect_refused(execute(&api, &juan(), CREATE));
    assert_eq!(reason, "service trade-desk belongs to firm \"coop\"");
    assert_eq!(platform.version_count("aguas"), 0);
}

/// An operator on rota may use any daemon. The service's name determines the firm.
#[test]
fn shared_rota() {
    let platform = FakePlatform::start();
    new_coop_api(&platform);
    let api = new_api(&platform, "aguas", "reservas", &Views::default());
    let response = execute(&api, &rita(), TAKE_OUT);
    assert!(
        matches!(response, OperatorResponse::Accepted { ref firm, .. } if firm == "coop"),
        "{response:?}"
    );
    assert_eq!(platform.audit_entries("coop")[1].operator, "rita");
}
