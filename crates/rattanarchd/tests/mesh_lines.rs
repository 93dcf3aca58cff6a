//! Log lines of one request on the platform.

mod mesh_support;

use std::time::Duration;

use mesh_support::Site;
use mesh_support::wait_until;
use serde_json::Value;

/// Decisions on the request `id` that a daemon of `site` has logged for `side`, then its outcome.
fn lines_of(site: &Site, daemon: usize, id: &str, side: &str) -> Vec<String> {
    let log = site.daemons[daemon].log();
    let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let of_request = lines.filter(|line| line["id"] == id && line["side"] == side);
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
