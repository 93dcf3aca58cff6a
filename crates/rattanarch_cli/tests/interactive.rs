//! Statements line by line.

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

fn interact(daemon: &FakeDaemon, input: &str) -> (Exit, String, String) {
    run_with(&Options { interactive: true, ..options(&[&daemon.url]) }, input)
}

/// A mistake or a refusal ends nothing.
#[test]
fn goes_on() {
    let refused = OperatorResponse::NotAccepted { reason: "no".into(), winner: None, risk: false };
    let daemon = FakeDaemon::start(vec![refused, table()]);
    let input = "shwo rules\n\nremove data centre a\nshow data centres\nquit\nshow rules\n";
    let (exit, output, errors) = interact(&daemon, input);
    assert_eq!(exit, Exit::Done);
    assert!(errors.contains("did you mean \"show\"?") && errors.contains("not accepted: no"));
    assert!(output.contains("nordkuehl"));
    assert_eq!(daemon.requests().len(), 2);
}

/// A person decides on what was shown last, so the command carries that version.
#[test]
fn carries_seen_version() {
    let daemon = FakeDaemon::start(vec![table(), accepted(8), accepted(9)]);
    let input = "show data centres\ndrain data centre a\nbring back data centre a\n";
    interact(&daemon, input);
    let seen: Vec<_> = daemon.requests().into_iter().map(|request| request.seen).collect();
    let version = |version| Some(SeenVersion { firm: "coop".into(), version });
    assert_eq!(seen, [None, version(7), version(8)]);
}
