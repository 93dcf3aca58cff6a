//! Operators can change only the configuration of their own firm.

use rattanarch_config::Applied;
use rattanarch_config::Command;
use rattanarch_config::CommandError;
use rattanarch_config::CommandRequest;
use rattanarch_config::Operator;
use rattanarch_config::apply;
use rattanarch_types::Configuration;
use rattanarch_types::Standing;

fn coop() -> Configuration {
    let create = Command::CreateDataCentre { name: "welsdepot".into(), region: "upper-at".into() };
    let empty = Configuration { firm: "coop".into(), ..Configuration::default() };
    let request = CommandRequest::new(Operator::of_firm("anna", "coop"), create);
    let Ok(Applied::Changed(next)) = apply(&empty, &request) else { panic!("not created") };
    next
}

fn take_out() -> Command {
    Command::SetDataCentre { name: "welsdepot".into(), standing: Standing::Out }
}

#[test]
fn other_firm() {
    let request =
        CommandRequest::new(Operator::of_firm("juan", "aguas"), take_out()).with_confirmed(true);
    let error = apply(&coop(), &request).unwrap_err();
    assert_eq!(error, CommandError::OtherFirm { operator: "juan".into(), firm: "coop".into() });
}

#[test]
fn own_firm() {
    let request =
        CommandRequest::new(Operator::of_firm("anna", "coop"), take_out()).with_confirmed(true);
    assert!(matches!(apply(&coop(), &request), Ok(Applied::Changed(_))));
}

/// An operator of the shared rota may act for every firm.
#[test]
fn shared_rota() {
    let request = CommandRequest::new(Operator::of_rota("rita"), take_out()).with_confirmed(true);
    let Ok(Applied::Changed(next)) = apply(&coop(), &request) else { panic!("refused") };
    assert_eq!(next.trail.entries[1].operator, "rita");
    assert_eq!(next.trail.entries[1].firm, None);
}
