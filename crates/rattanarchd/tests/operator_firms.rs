//! Two firms, shared staff: nobody reaches the other firm's services.

mod operator_support;

use operator_support::Fake;
use operator_support::accepted;
use operator_support::anna;
use operator_support::desk;
use operator_support::juan;
use operator_support::refused;
use operator_support::rita;
use operator_support::say;
use rattanarch_config::OperatorResponse;
use rattanarchd::operator::OperatorApi;
use rattanarchd::version::Views;

const CREATE: &str = "create service trade-desk keyed 144";
const TAKE_OUT: &str = "take out upstream t1 in trade-desk twice";

fn coop_desk(fake: &Fake) -> OperatorApi {
    let desk = desk(fake, "coop", "trade-desk", &Views::default());
    accepted(&say(&desk, &anna(), CREATE));
    desk
}

#[test]
fn foreign_service() {
    let fake = Fake::start();
    let desk = coop_desk(&fake);
    let before = fake.value("configuration/coop");
    let (reason, _) = refused(say(&desk, &juan(), TAKE_OUT));
    assert!(reason.contains("belongs to firm \"coop\""), "{reason}");
    let (reason, _) = refused(say(&desk, &juan(), &format!("{TAKE_OUT} for coop")));
    assert!(reason.contains("may not act for firm \"coop\""), "{reason}");
    assert_eq!(fake.value("configuration/coop"), before);
}

#[test]
fn foreign_query() {
    let fake = Fake::start();
    let desk = coop_desk(&fake);
    let answer = say(&desk, &juan(), "show services for coop");
    assert!(matches!(answer, OperatorResponse::Failed { .. }), "{answer:?}");
    let OperatorResponse::Table { firm, table, .. } = say(&desk, &juan(), "show services") else {
        panic!()
    };
    assert_eq!((firm.as_str(), table.rows.len()), ("aguas", 0));
}

#[test]
fn taken_name() {
    let fake = Fake::start();
    let desk = coop_desk(&fake);
    let (reason, _) = refused(say(&desk, &juan(), CREATE));
    assert_eq!(reason, "service trade-desk belongs to firm \"coop\"");
    assert_eq!(fake.versions("aguas"), 0);
}

/// The rota works at any daemon; the name tells the firm.
#[test]
fn shared_rota() {
    let fake = Fake::start();
    coop_desk(&fake);
    let desk = desk(&fake, "aguas", "reservas", &Views::default());
    let answer = say(&desk, &rita(), TAKE_OUT);
    assert!(
        matches!(answer, OperatorResponse::Accepted { ref firm, .. } if firm == "coop"),
        "{answer:?}"
    );
    assert_eq!(fake.entries("coop")[1].operator, "rita");
}
