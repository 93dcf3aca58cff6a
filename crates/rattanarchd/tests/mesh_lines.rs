//! Log lines of one request on the platform.

mod mesh_support;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::HOST;
use serde_json::Value;

/// Lines of the request `id` that a daemon of `site` has logged for `side`.
fn all_lines(site: &Site, daemon: usize, id: &str, side: &str) -> Vec<Value> {
    let log = site.daemons[daemon].log();
    let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.filter(|line| line["id"] == id && line["side"] == side).collect()
}

/// The decisions among them, then the outcome.
fn lines_of(site: &Site, daemon: usize, id: &str, side: &str) -> Vec<String> {
    let of_request = all_lines(site, daemon, id, side).into_iter();
    let text =
        |line: Value| line["decision"].as_str().or(line["outcome"].as_str()).map(str::to_owned);
    of_request.filter_map(text).collect()
}

/// Each decision on a failed request has its line at the daemon that made it, in order, under the
/// request's id; so has one of the sample that ended well.
#[test]
fn line_a_decision() {
    let site = Site::start(2, 0);
    let key = site.upstreams[1].held()[0].0;
    site.ask(0, "/stock/crayfish", "served", key);
    site.upstreams[1].set_work(Duration::from_secs(30));
    site.ask(0, "/stock/crayfish", "too-slow", key);
    let at_caller = ["sent", "answer", "given-up", "failed"];
    let at_owner = ["admitted", "failed"];
    let both = || {
        lines_of(&site, 0, "too-slow", "caller") == at_caller
            && lines_of(&site, 1, "too-slow", "forwarded") == at_owner
    };
    wait_until("a line for each decision", both);
    assert_eq!(lines_of(&site, 0, "served", "caller"), ["sent", "answer", "answered"]);
}

/// A request for which no instance is there has a line that tells the record's version.
#[test]
fn unsent_told() {
    let site = Site::start(1, 0);
    site.ask(0, "/files/customs", "nowhere", 7);
    wait_until("its lines", || lines_of(&site, 0, "nowhere", "caller") == ["unsent", "refused"]);
}

/// A request whose sender goes away while it runs has its lines and its count at the daemon that ran it.
#[test]
fn abandoned_told() {
    let site = Site::start(2, 0);
    let key = site.upstreams[1].held()[0].0;
    site.upstreams[1].set_work(Duration::from_secs(30));
    let mut caller = TcpStream::connect(site.daemons[0].addresses.callers).unwrap();
    write!(
        caller,
        "GET /stock/crayfish HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: left\r\n\
         x-deadline-ms: 4000\r\nx-shard-key: {key}\r\n\r\n"
    )
    .unwrap();
    wait_until("it runs", || site.run_ids().contains(&"left".to_owned()));
    drop(caller);
    let abandoned = |daemon: usize, side: &str| {
        let lines = all_lines(&site, daemon, "left", side);
        lines.iter().any(|line| line["event"] == "request abandoned")
    };
    wait_until("its lines", || abandoned(0, "caller") && abandoned(1, "forwarded"));
    let decisions = lines_of(&site, 1, "left", "forwarded");
    assert_eq!(decisions, ["admitted"]);
    let counted = |line: &str| line.contains("outcome=\"abandoned\"");
    assert!(site.metrics(1).lines().any(counted), "{}", site.metrics(1));
}

/// Tries are counted, also where each goes to the owner of the key.
#[test]
fn tries_counted() {
    let site = Site::start(1, 0);
    site.upstreams[0].fail(1);
    assert_eq!(site.ask(0, "/stock/crayfish", "twice", 5).status, 200);
    let sent = || -> Vec<String> {
        let lines = all_lines(&site, 0, "twice", "caller").into_iter();
        let sent = lines.filter(|line| line["decision"] == "sent");
        sent.filter_map(|line| line["detail"].as_str().map(str::to_owned)).collect()
    };
    wait_until("two tries", || sent().len() == 2);
    let sent = sent();
    assert!(sent[0].ends_with("try 1") && sent[1].ends_with("try 2"), "{sent:?}");
}
