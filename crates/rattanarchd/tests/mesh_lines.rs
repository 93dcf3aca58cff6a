//! Log lines of single requests on the platform.

mod mesh_support;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::HOST;
use serde_json::Value;

/// Returns the lines of the request `id` that a daemon has logged for `side`.
fn all_lines(site: &Site, daemon: usize, id: &str, side: &str) -> Vec<Value> {
    let log = site.daemons[daemon].log();
    let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.filter(|line| line["id"] == id && line["side"] == side).collect()
}

/// Returns the decisions and the outcome in these lines.
fn decisions(site: &Site, daemon: usize, id: &str, side: &str) -> Vec<String> {
    let lines = all_lines(site, daemon, id, side).into_iter();
    let text =
        |line: Value| line["decision"].as_str().or(line["outcome"].as_str()).map(str::to_owned);
    lines.filter_map(text).collect()
}

/// A failed request has a line for each decision at the daemon that made it, in order and with the request's id. A
/// successful request in the log sample has them too.
#[test]
fn decisions_logged() {
    let site = Site::start(2, 0);
    let key = site.upstreams[1].held()[0].0;
    site.get(0, "/stock/crayfish", "served", key);
    site.upstreams[1].set_work(Duration::from_secs(30));
    site.get(0, "/stock/crayfish", "too-slow", key);
    let at_caller = ["sent", "answer", "given-up", "failed"];
    let at_owner = ["admitted", "failed"];
    let both_logged = || {
        decisions(&site, 0, "too-slow", "caller") == at_caller
            && decisions(&site, 1, "too-slow", "forwarded") == at_owner
    };
    wait_until("each decision has a line", both_logged);
    assert_eq!(decisions(&site, 0, "served", "caller"), ["sent", "answer", "answered"]);
}

/// A request to a service without instances has a line for the missing target and one for the outcome.
#[test]
fn unsent_logged() {
    let site = Site::start(1, 0);
    site.get(0, "/files/customs", "nowhere", 7);
    wait_until("both lines are written", || {
        decisions(&site, 0, "nowhere", "caller") == ["unsent", "refused"]
    });
}

/// A request that its caller abandons while it runs is logged at both daemons and counted at the one that runs it.
#[test]
fn abandoned_logged() {
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
    wait_until("the request runs", || site.run_ids().contains(&"left".to_owned()));
    drop(caller);
    let abandoned = |daemon: usize, side: &str| {
        let lines = all_lines(&site, daemon, "left", side);
        lines.iter().any(|line| line["event"] == "request abandoned")
    };
    wait_until("both daemons have logged it", || {
        abandoned(0, "caller") && abandoned(1, "forwarded")
    });
    let forwarded = decisions(&site, 1, "left", "forwarded");
    assert_eq!(forwarded, ["admitted"]);
    let counted = |line: &str| line.contains("outcome=\"abandoned\"");
    assert!(site.metrics(1).lines().any(counted), "{}", site.metrics(1));
}

/// Attempts are numbered, even if all go to the same owner of the key.
#[test]
fn attempts_numbered() {
    let site = Site::start(1, 0);
    site.upstreams[0].fail(1);
    assert_eq!(site.get(0, "/stock/crayfish", "twice", 5).status, 200);
    let sent = || -> Vec<String> {
        let lines = all_lines(&site, 0, "twice", "caller").into_iter();
        let sent = lines.filter(|line| line["decision"] == "sent");
        sent.filter_map(|line| line["detail"].as_str().map(str::to_owned)).collect()
    };
    wait_until("two attempts are logged", || sent().len() == 2);
    let sent = sent();
    assert!(sent[0].ends_with("try 1") && sent[1].ends_with("try 2"), "{sent:?}");
}

/// The lines of the daemons tell who was granted a key under which token, and when its upstream could no longer hold it.
#[test]
fn grants_logged() {
    let site = Site::start(2, 0);
    let (first, _, fence) = site.upstreams[0].held()[0];
    let line = |daemon: usize, event: &str, key: u16| {
        let log = site.daemons[daemon].log();
        let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let covers = |line: &Value| {
            let keys = line["keys"].as_str().unwrap_or_default();
            keys.split([' ', '-']).any(|text| text.parse() == Ok(key))
        };
        lines.filter(|line| line["event"] == event).find(covers)
    };
    let granted = line(0, "keys granted", first).expect("the first grant has a line");
    assert!(granted["keys"].as_str().unwrap().contains(&format!(":{fence}")), "{granted}");
    assert!(granted["record"].as_u64().unwrap() >= fence, "{granted}");
    site.upstreams[0].drain();
    wait_until("the end of the hold has a line", || {
        line(0, "keys no longer held", first).is_some()
    });
    wait_until("the next grant has a line", || {
        let next = line(1, "keys granted", first);
        next.is_some_and(|next| next["record"].as_u64().unwrap() > fence)
    });
}
