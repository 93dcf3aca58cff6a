//! A command whose answer was lost is settled truthfully, and repeating it is harmless.

mod operator_support;

use operator_support::Fake;
use operator_support::accepted;
use operator_support::anna;
use operator_support::desk;
use operator_support::refused;
use operator_support::say;
use rattanarch_config::OperatorRequest;
use rattanarch_config::OperatorResponse;
use rattanarchd::operator::OperatorApi;
use rattanarchd::version::Views;

const CREATE: &str = "create data-centre nordkuehl region upper-at";
const TAKE_OUT: &str = "take out data-centre nordkuehl twice";
const BRING_BACK: &str = "bring back data-centre nordkuehl";
const LONG: usize = 1_000_000;

fn start() -> (Fake, OperatorApi) {
    let fake = Fake::start();
    let desk = desk(&fake, "coop", "trade-desk", &Views::default());
    accepted(&say(&desk, &anna(), CREATE));
    (fake, desk)
}

fn repeat(desk: &OperatorApi, statement: &str, write_id: u64) -> OperatorResponse {
    let request = OperatorRequest {
        statement: statement.to_owned(),
        write_id: Some(write_id),
        ..OperatorRequest::default()
    };
    desk.execute(&anna(), &request)
}

#[test]
fn lost_answer() {
    let (fake, desk) = start();
    fake.store().lose_answers = 1;
    assert_eq!(accepted(&say(&desk, &anna(), TAKE_OUT)), 2);
    assert_eq!(fake.versions("coop"), 2);
}

/// The update lands after the daemon's next call: a read at once would not have seen it.
#[test]
fn late_write() {
    let (fake, desk) = start();
    fake.store().late_writes = 2;
    assert_eq!(accepted(&say(&desk, &anna(), TAKE_OUT)), 2);
    assert_eq!(fake.versions("coop"), 2);
    assert_eq!(fake.entries("coop").len(), 2);
}

#[test]
fn unknown_then_repeated() {
    let (fake, desk) = start();
    fake.store().lose_answers = LONG;
    let OperatorResponse::Unknown { write_id, .. } = say(&desk, &anna(), TAKE_OUT) else {
        panic!()
    };
    fake.store().lose_answers = 0;
    accepted(&say(&desk, &anna(), BRING_BACK));
    assert_eq!(accepted(&repeat(&desk, TAKE_OUT, write_id)), 2);
    assert_eq!(fake.value("configuration/coop")["data_centres"]["nordkuehl"]["standing"], "in");
}

/// The entry of the first attempt has moved into a page by the time of the repeat.
#[test]
fn repeated_after_move() {
    let (fake, desk) = start();
    let first = say(&desk, &anna(), TAKE_OUT);
    let OperatorResponse::Accepted { write_id, .. } = first else { panic!("{first:?}") };
    for round in 0..40 {
        accepted(&say(&desk, &anna(), &format!("create data-centre dc-{round} region upper-at")));
    }
    assert!(fake.value("configuration/coop")["trail"]["start"].as_u64() > Some(2));
    accepted(&say(&desk, &anna(), BRING_BACK));
    assert_eq!(accepted(&repeat(&desk, TAKE_OUT, write_id)), 2);
    assert_eq!(fake.versions("coop"), 43);
}

#[test]
fn refused_unsent() {
    let (fake, desk) = start();
    fake.store().down = true;
    let (reason, _) = refused(say(&desk, &anna(), TAKE_OUT));
    assert!(reason.starts_with("platform did not take the call"), "{reason}");
    fake.store().down = false;
    assert_eq!(fake.versions("coop"), 1);
}
