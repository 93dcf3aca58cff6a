//! Interactive sessions.

mod cli_support;

use cli_support::FakeDaemon;
use cli_support::accepted;
use cli_support::options;
use cli_support::run_with;
use cli_support::table;
use rattanarch_cli::Exit;
use rattanarch_cli::Options;
use rattanarch_config::OperatorResponse;
use rattanarch_config::SeenVersion;

fn run_interactive(daemon: &FakeDaemon, input: &str) -> (Exit, String, String) {
    run_with(&Options { interactive: true, ..options(&[&daemon.url]) }, input)
}

/// A malformed statement or a refused command does not end the session.
#[test]
fn continues_after_errors() {
    let refused = OperatorResponse::NotAccepted { reason: "no".into(), winner: None, risk: false };
    let daemon = FakeDaemon::start(vec![refused, table()]);
    let input = "shwo rules\n\nremove data centre a\nshow data centres\nquit\nshow rules\n";
    let (exit, output, errors) = run_interactive(&daemon, input);
    assert_eq!(exit, Exit::Done);
    assert!(errors.contains("did you mean \"show\"?") && errors.contains("not accepted: no"));
    assert!(output.contains("nordkuehl"));
    assert_eq!(daemon.requests().len(), 2);
}

/// A command contains the version in the last response, because the operator decides by what was shown last.
#[test]
fn sends_seen_version() {
    let daemon = FakeDaemon::start(vec![table(), accepted(8), accepted(9)]);
    let input = "show data centres\ndrain data centre a\nbring back data centre a\n";
    run_interactive(&daemon, input);
    let seen: Vec<_> = daemon.requests().into_iter().map(|request| request.seen).collect();
    let version = |version| Some(SeenVersion { firm: "coop".into(), version });
    assert_eq!(seen, [None, version(7), version(8)]);
}
