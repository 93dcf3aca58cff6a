//! Commands that are refused unless their risk is confirmed.

use rattanarch_config::Applied;
use rattanarch_config::Command;
use rattanarch_config::CommandError;
use rattanarch_config::CommandRequest;
use rattanarch_config::InstanceLocation;
use rattanarch_config::Operator;
use rattanarch_config::apply;
use rattanarch_config::check_instances_left;
use rattanarch_types::Configuration;
use rattanarch_types::DataCentre;
use rattanarch_types::Service;
use rattanarch_types::Standing;

fn base() -> Configuration {
    let mut base = Configuration { firm: "coop".into(), ..Configuration::default() };
    base.services.insert("pound-files".into(), Service::default());
    for name in ["hafenhalle", "nordkuehl"] {
        base.data_centres.insert(name.into(), DataCentre::default());
    }
    base
}

fn request(command: Command) -> CommandRequest {
    CommandRequest::new(Operator::of_rota("rita"), command)
}

fn take_out(name: &str) -> Command {
    Command::SetDataCentre { name: name.into(), standing: Standing::Out }
}

/// Refusal of the unconfirmed command; checks that it is accepted with confirmation.
fn risk(base: &Configuration, command: Command) -> CommandError {
    let request = request(command);
    let error = apply(base, &request).expect_err("unconfirmed");
    assert!(error.needs_confirmation());
    let confirmed = apply(base, &request.with_confirmed(true));
    assert!(matches!(confirmed, Ok(Applied::Changed(_))), "{confirmed:?}");
    error
}

#[test]
fn last_data_centre() {
    let Ok(Applied::Changed(one_left)) = apply(&base(), &request(take_out("hafenhalle"))) else {
        panic!("another data centre is in service")
    };
    let error = risk(&one_left, take_out("nordkuehl"));
    let (name, firm) = ("nordkuehl".into(), "coop".into());
    assert_eq!(error, CommandError::LastDataCentre { name, firm });
}

#[test]
fn last_rule() {
    let remove = Command::RemoveRoute { service: "pound-files".into(), prefix: "/".into() };
    assert_eq!(risk(&base(), remove), CommandError::ServiceUnavailable("pound-files".into()));
}

#[test]
fn service_removal() {
    let remove = Command::RemoveService { service: "pound-files".into() };
    assert_eq!(risk(&base(), remove), CommandError::ServiceRemoval("pound-files".into()));
}

#[test]
fn unproved_loss() {
    let declare = Command::DeclareLost { service: "pound-files".into(), boot: 31 };
    assert_eq!(risk(&base(), declare), CommandError::LossUnconfirmed(31));
}

/// The last known instance in service is taken away by taking out its data centre.
#[test]
fn last_instance() {
    let location = |instance: &str, centre: &str| InstanceLocation {
        service: "pound-files".into(),
        instance: instance.into(),
        data_centre: centre.into(),
    };
    let instances = [location("p1", "hafenhalle"), location("p2", "hafenhalle")];
    let Ok(Applied::Changed(after)) = apply(&base(), &request(take_out("hafenhalle"))) else {
        panic!("not the last data centre")
    };
    let error = CommandError::ServiceUnavailable("pound-files".into());
    assert_eq!(check_instances_left(&base(), &after, &instances), Err(error));
    let elsewhere = [location("p1", "hafenhalle"), location("p3", "nordkuehl")];
    assert_eq!(check_instances_left(&base(), &after, &elsewhere), Ok(()));
    assert_eq!(check_instances_left(&after, &after, &instances), Ok(()));
}
