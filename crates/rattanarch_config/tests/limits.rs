//! Limits on the contents of a configuration.

use std::time::Duration;

use rattanarch_config::Command;
use rattanarch_config::CommandError;
use rattanarch_config::CommandRequest;
use rattanarch_config::Operator;
use rattanarch_config::RouteChange;
use rattanarch_config::apply;
use rattanarch_types::Configuration;
use rattanarch_types::DataCentre;
use rattanarch_types::Service;
use rattanarch_types::Sharing;

fn error(base: &Configuration, command: Command) -> Option<CommandError> {
    apply(base, &CommandRequest::new(Operator::of_rota("rita"), command)).err()
}

fn base() -> Configuration {
    let mut base = Configuration { firm: "coop".into(), ..Configuration::default() };
    base.services.insert("trade-desk".into(), Service::default());
    base
}

fn create(name: &str) -> Command {
    Command::CreateDataCentre { name: name.into(), region: "upper-at".into() }
}

#[test]
fn names() {
    let long = "a".repeat(64);
    for name in ["", "a b", "A", "-a", "1a", "\u{e4}", "a/b", &long] {
        assert_eq!(error(&base(), create(name)), Some(CommandError::InvalidName(name.into())));
    }
    assert_eq!(error(&base(), create(&long[1..])), None);
}

#[test]
fn slices() {
    let keyed = |slices| Command::CreateService {
        service: "reservas".into(),
        sharing: Sharing::Keyed(slices),
        route: RouteChange::default(),
    };
    for slices in [0, 4_097] {
        let service = "reservas".into();
        assert_eq!(
            error(&base(), keyed(slices)),
            Some(CommandError::InvalidSlices { service, slices })
        );
    }
    assert_eq!(error(&base(), keyed(4_096)), None);
}

#[test]
fn rules() {
    let rule = |prefix: &str, timeout| Command::CreateRoute {
        service: "trade-desk".into(),
        prefix: prefix.into(),
        route: RouteChange { timeout: Some(timeout), ..RouteChange::default() },
    };
    let second = Duration::from_secs(1);
    for prefix in ["", "maps", "/a b", "/\u{e4}"] {
        let expected = CommandError::InvalidPrefix(prefix.into());
        assert_eq!(error(&base(), rule(prefix, second)), Some(expected));
    }
    for timeout in [Duration::ZERO, Duration::from_secs(3_601)] {
        assert_eq!(error(&base(), rule("/maps", timeout)), Some(CommandError::InvalidTimeout));
    }
    assert_eq!(error(&base(), rule("/maps", second)), None);
}

#[test]
fn counts() {
    let mut full = base();
    for number in 0..256 {
        full.data_centres.insert(format!("dc-{number}"), DataCentre::default());
    }
    let error = error(&full, create("one-more"));
    assert!(matches!(error, Some(CommandError::LimitReached { limit: 256, .. })), "{error:?}");
}
