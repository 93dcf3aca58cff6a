//! A command is executed once when responses of the platform are lost.
//!
//! Guards against a wrong outcome for the operator, and against a repeat that executes twice.

mod operator_support;

use operator_support::FakePlatform;
use operator_support::anna;
use operator_support::execute;
use operator_support::expect_accepted;
use operator_support::expect_refused;
use operator_support::new_api;
use rattanarch_config::OperatorRequest;
use rattanarch_config::OperatorResponse;
use rattanarchd::operator::OperatorApi;
use rattanarchd::version::Views;

const CREATE: &str = "create data-centre nordkuehl region upper-at";
const TAKE_OUT: &str = "take out data-centre nordkuehl twice";
const BRING_BACK: &str = "bring back data-centre nordkuehl";
const ALL_RESPONSES: usize = 1_000_000;

fn start() -> (FakePlatform, OperatorApi) {
    let platform = FakePlatform::start();
    let api = new_api(&platform, "coop", "trade-desk", &Views::default());
    expect_accepted(&execute(&api, &anna(), CREATE));
    (platform, api)
}

fn repeat(api: &OperatorApi, statement: &str, write_id: u64) -> OperatorResponse {
    let request = OperatorRequest {
        statement: statement.to_owned(),
        write_id: Some(write_id),
        ..OperatorRequest::default()
    };
    api.execute(&anna(), &request)
}

#[test]
fn lost_response() {
    let (platform, api) = start();
    platform.store().lost_responses = 1;
    assert_eq!(expect_accepted(&execute(&api, &anna(), TAKE_OUT)), 2);
    assert_eq!(platform.version_count("coop"), 2);
}

/// The update takes effect after the daemon's next call, so an immediate read does not return it.
#[test]
fn delayed_write() {
    let (platform, api) = start();
    platform.store().delayed_writes = 2;
    assert_eq!(expect_accepted(&execute(&api, &anna(), TAKE_OUT)), 2);
    assert_eq!(platform.version_count("coop"), 2);
    assert_eq!(platform.audit_entries("coop").len(), 2);
}

#[test]
fn unknown_then_repeat() {
    let (platform, api) = start();
    platform.store().lost_responses = ALL_RESPONSES;
    let OperatorResponse::Unknown { write_id, .. } = execute(&api, &anna(), TAKE_OUT) else {
        panic!()
    };
    platform.store().lost_responses = 0;
    expect_accepted(&execute(&api, &anna(), BRING_BACK));
    assert_eq!(expect_accepted(&repeat(&api, TAKE_OUT, write_id)), 2);
    assert_eq!(
        platform.current_value("configuration/coop")["data_centres"]["nordkuehl"]["standing"],
        "in"
    );
}

/// The audit entry of the first attempt is in a page when the repeat arrives.
#[test]
fn entry_moved() {
    let (platform, api) = start();
    let first = execute(&api, &anna(), TAKE_OUT);
    let OperatorResponse::Accepted { write_id, .. } = first else { panic!("{first:?}") };
    for round in 0..40 {
        expect_accepted(&execute(
            &api,
            &anna(),
            &format!("create data-centre dc-{round} region upper-at"),
        ));
    }
    assert!(platform.current_value("configuration/coop")["trail"]["start"].as_u64() > Some(2));
    expect_accepted(&execute(&api, &anna(), BRING_BACK));
    assert_eq!(expect_accepted(&repeat(&api, TAKE_OUT, write_id)), 2);
    assert_eq!(platform.version_count("coop"), 43);
}

#[test]
fn platform_down() {
    let (platform, api) = start();
    platform.store().down = true;
    let (reason, _) = expect_refused(execute(&api, &anna(), TAKE_OUT));
    assert!(reason.starts_with("platform did not execute the call"), "{reason}");
    platform.store().down = false;
    assert_eq!(platform.version_count("coop"), 1);
}
