//! Single statements: output, exit status and requests sent.

mod cli_support;

use cli_support::FakeDaemon;
use cli_support::accepted;
use cli_support::closed_url;
use cli_support::options;
use cli_support::run_statement;
use cli_support::run_with;
use cli_support::silent_url;
use cli_support::table;
use cli_support::write_file;
use rattanarch_cli::Exit;
use rattanarch_cli::Options;
use rattanarch_config::OperatorResponse;

const TAKE_OUT: &str = "take out data-centre nordkuehl";

#[test]
fn text_output() {
    let daemon = FakeDaemon::start(vec![table()]);
    let (exit, output, errors) = run_statement(&[&daemon.url], "show data centres");
    assert_eq!((exit, errors.as_str()), (Exit::Done, ""));
    let lines: Vec<_> = output.lines().collect();
    assert_eq!(lines[..3], ["data-centre  standing", "nordkuehl    in", "welsdepot    out"]);
    assert_eq!(lines[3], "firm coop, version 7, as read now");
    assert_eq!(daemon.requests()[0].statement, "show data-centres");
    assert_eq!(daemon.requests()[0].write_id, None);
}

#[test]
fn json_output() {
    let daemon = FakeDaemon::start(vec![table()]);
    let statement = vec!["show".into(), "data-centres".into()];
    let options = Options { json: true, statement, ..options(&[&daemon.url]) };
    let (_, output, _) = run_with(&options, "");
    assert_eq!(serde_json::from_str::<OperatorResponse>(&output).unwrap(), table());
}

#[test]
fn accepted_command() {
    let daemon = FakeDaemon::start(vec![accepted(8)]);
    let (exit, output, _) = run_statement(&[&daemon.url], TAKE_OUT);
    assert_eq!(exit, Exit::Done);
    let expected = "accepted at version 8 of firm coop; known to be in force at 2 of 9 members, no \
                  reports of pound-files\n";
    assert_eq!(output, expected);
}

#[test]
fn refused_command() {
    let reason = "data centre \"nordkuehl\" is the last".to_owned();
    let refused = OperatorResponse::NotAccepted { reason, winner: None, risk: true };
    let daemon = FakeDaemon::start(vec![refused]);
    let (exit, output, errors) = run_statement(&[&daemon.url], TAKE_OUT);
    assert_eq!((exit, output.as_str()), (Exit::Refused, ""));
    assert!(errors.contains("add the word \"twice\""), "{errors}");
}

#[test]
fn unknown_word() {
    let daemon = FakeDaemon::start(vec![table()]);
    let (exit, _, errors) = run_statement(&[&daemon.url], "show data-centers");
    assert_eq!(exit, Exit::Usage);
    let lines: Vec<_> = errors.lines().collect();
    assert_eq!(lines[..2], ["show data-centers", "     ^"]);
    assert!(lines[2].ends_with("did you mean \"data-centres\"?"), "{errors}");
    assert!(daemon.requests().is_empty());
}

#[test]
fn next_address() {
    let daemon = FakeDaemon::start(vec![table()]);
    let (exit, ..) = run_statement(&[&closed_url(), &daemon.url], "show services");
    assert_eq!(exit, Exit::Done);
    let (exit, ..) = run_statement(&[&closed_url()], "show services");
    assert_eq!(exit, Exit::Unreachable);
}

/// A command without a response from one daemon is sent to the next. Without any response its outcome is unknown.
#[test]
fn unanswered_command() {
    let (exit, _, errors) = run_statement(&[&silent_url()], TAKE_OUT);
    assert_eq!(exit, Exit::Unknown);
    assert!(errors.contains("--write-id "), "{errors}");
    let (exit, ..) = run_statement(&[&silent_url(), &closed_url()], TAKE_OUT);
    assert_eq!(exit, Exit::Unknown);
    let daemon = FakeDaemon::start(vec![accepted(8)]);
    let (exit, ..) = run_statement(&[&silent_url(), &daemon.url], TAKE_OUT);
    assert_eq!(exit, Exit::Done);
    assert!(daemon.requests()[0].write_id.is_some());
}

#[test]
fn unknown_outcome() {
    let unknown = OperatorResponse::Unknown { write_id: 12, reason: "no answer".into() };
    let daemon = FakeDaemon::start(vec![unknown, accepted(8)]);
    let (exit, _, errors) = run_statement(&[&daemon.url], TAKE_OUT);
    assert_eq!(exit, Exit::Unknown);
    assert!(errors.contains("--write-id 12"), "{errors}");
    let statement = vec![TAKE_OUT.to_owned()];
    let repeat = Options { write_id: Some(12), statement, ..options(&[&daemon.url]) };
    assert_eq!(run_with(&repeat, "").0, Exit::Done);
    assert_eq!(daemon.requests()[1].write_id, Some(12));
}

#[test]
fn wrong_token() {
    let daemon = FakeDaemon::start(vec![table()]);
    let statement = vec!["show rules".to_owned()];
    let token_file = Some(write_file("stale"));
    let options = Options { token_file, statement, ..options(&[&daemon.url]) };
    let (exit, _, errors) = run_with(&options, "");
    assert_eq!(exit, Exit::Usage);
    assert!(errors.contains("401") && !errors.contains("stale"), "{errors}");
}

#[test]
fn invalid_settings() {
    let options = Options {
        statement: vec!["check".into(), write_file("nothing = true")],
        ..Options::default()
    };
    let (exit, _, errors) = run_with(&options, "");
    assert_eq!(exit, Exit::Usage);
    assert!(errors.contains("nothing"), "{errors}");
}
