//! Scripts from files and standard input.

mod cli_support;

use cli_support::FakeDaemon;
use cli_support::accepted;
use cli_support::closed_url;
use cli_support::condition;
use cli_support::options;
use cli_support::run_with;
use cli_support::table;
use cli_support::write_file;
use rattanarch_cli::Exit;
use rattanarch_cli::Options;
use rattanarch_config::OperatorResponse;

const SCRIPT: &str = "# evening\ntake out data-centre nordkuehl; show data-centres\n\nshow rules\n";

/// Statements that the daemon received.
fn statements(daemon: &FakeDaemon) -> Vec<String> {
    daemon.requests().into_iter().map(|request| request.statement).collect()
}

#[test]
fn from_file() {
    let daemon = FakeDaemon::start(vec![accepted(8), table()]);
    let options = Options { script: Some(write_file(SCRIPT)), ..options(&[&daemon.url]) };
    assert_eq!(run_with(&options, "").0, Exit::Done);
    let expected = ["take out data-centre nordkuehl", "show data-centres", "show rules"];
    assert_eq!(statements(&daemon), expected);
}

#[test]
fn from_input() {
    let daemon = FakeDaemon::start(vec![table()]);
    let options = Options { script: Some("-".into()), ..options(&[&daemon.url]) };
    assert_eq!(run_with(&options, "show rules # all\n").0, Exit::Done);
    assert_eq!(statements(&daemon), ["show rules"]);
}

#[test]
fn stops_at_failure() {
    let refused = OperatorResponse::NotAccepted { reason: "no".into(), winner: None, risk: false };
    let daemon = FakeDaemon::start(vec![refused, table()]);
    let options = Options { script: Some(write_file(SCRIPT)), ..options(&[&daemon.url]) };
    assert_eq!(run_with(&options, "").0, Exit::Refused);
    assert_eq!(daemon.requests().len(), 1);
}

#[test]
fn malformed_script() {
    let daemon = FakeDaemon::start(vec![accepted(8)]);
    let text = "take out data-centre nordkuehl\nshow ruels\n";
    let options = Options { script: Some(write_file(text)), ..options(&[&daemon.url]) };
    let (exit, _, errors) = run_with(&options, "");
    assert_eq!(exit, Exit::Usage);
    assert!(errors.contains("line 2, column 6"), "{errors}");
    assert!(daemon.requests().is_empty());
}

/// After a command, `wait until in force` waits for the version that the command has created.
#[test]
fn waits_for_own_version() {
    let responses = vec![accepted(8), condition(false), condition(false), condition(true)];
    let daemon = FakeDaemon::start(responses);
    let text = "take out data-centre nordkuehl\nwait until in force within 10s\n";
    let options = Options { script: Some(write_file(text)), ..options(&[&daemon.url]) };
    assert_eq!(run_with(&options, "").0, Exit::Done);
    let wait = "wait until version 8 in force within 10000ms for coop";
    assert_eq!(statements(&daemon)[1..], [wait, wait, wait]);
}

#[test]
fn wait_times_out() {
    let daemon = FakeDaemon::start(vec![condition(false)]);
    let statement = vec!["wait until version 9 in force within 300ms".to_owned()];
    let options = Options { statement, ..options(&[&daemon.url]) };
    assert_eq!(run_with(&options, "").0, Exit::TimedOut);
}

/// The wait works while one of the given daemons is down, because any daemon checks the condition at all members.
#[test]
fn waits_past_unreachable() {
    let daemon = FakeDaemon::start(vec![condition(false), condition(true)]);
    let statement = vec!["wait until version 9 in force within 10s".to_owned()];
    let options = Options { statement, ..options(&[&closed_url(), &daemon.url]) };
    assert_eq!(run_with(&options, "").0, Exit::Done);
    assert_eq!(daemon.requests().len(), 2);
}
