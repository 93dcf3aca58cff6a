//! Upstreams that repeat a refusal, close in the middle of a response's head, or send a status that is none.

mod mesh_support;

use mesh_support::Fault;
use mesh_support::FaultSwitch;
use mesh_support::Site;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Store;

/// A site with one upstream for keys and two without, behind proxies.
fn start() -> (Site, Vec<FaultSwitch>) {
    let store = Store::start();
    store.configure(5);
    let mut site = Site::empty(store);
    let switches = [(DESK, "desk-0"), (FILES, "files-0"), (FILES, "files-1")]
        .map(|(service, instance)| site.add_behind_proxy(service, instance, "centre-0"));
    site.wait_served();
    site.wait_members(FILES, 2);
    (site, switches.into())
}

fn set(switches: &[FaultSwitch], fault: Fault) {
    for switch in switches {
        *switch.lock().expect("the proxy runs") = fault;
    }
}

/// A refusal that is written once more on a kept connection is no answer to the next request there: nobody is told of a
/// request that it has not run while it runs, and no write runs twice.
#[test]
fn repeated_refusal() {
    let (site, switches) = start();
    set(&switches, Fault::RepeatRefusal);
    let mut responses = Vec::new();
    for round in 0..12 {
        for upstream in &site.upstreams {
            upstream.refuse(1);
        }
        let id = |kind: &str| format!("{kind}{round}");
        responses.push((id("w"), site.post(0, "/hold/a", &id("w"), 7, "crate")));
        responses.push((id("r"), site.get(0, "/stock/a", &id("r"), 7)));
        responses.push((id("f"), site.get(0, "/files/a", &id("f"), 7)));
        responses.push((id("v"), site.post(0, "/hold/a", &id("v"), 7, "crate")));
    }
    let runs = site.run_ids();
    for (id, response) in &responses {
        let count = runs.iter().filter(|run| *run == id).count();
        let is_write = id.starts_with(['w', 'v']);
        assert!(!is_write || count <= 1, "{id} ran {count} times: {response:?}");
        assert!(response.status != 503 || count == 0, "{id} ran and was told {response:?}");
        assert!(
            response.status != 200 || response.body == format!("answer to {id}"),
            "{response:?}"
        );
    }
    assert!(!runs.is_empty());
}

/// A head that breaks off at any place is no success, whatever it said before.
#[test]
fn head_cut_short() {
    let (site, switches) = start();
    for missing in [1, 2, 3, 5, 20, 40, 80, 100] {
        set(&switches, Fault::CutHead(missing));
        let id = |kind: &str| format!("{kind}{missing}");
        for response in [
            site.post(0, "/hold/a", &id("w"), 7, "crate"),
            site.get(0, "/stock/a", &id("r"), 7),
            site.get(1, "/files/a", &id("f"), 7),
            site.get(2, "/maps/a", &id("m"), 7),
        ] {
            assert!(matches!(response.status, 502 | 504), "{missing} bytes missing: {response:?}");
            assert!(!response.stamped, "{response:?}");
        }
        let writes = site.run_ids().into_iter().filter(|run| *run == id("w")).count();
        assert_eq!(writes, 1, "{missing} bytes missing");
    }
    set(&switches, Fault::None);
    assert_eq!(site.post(0, "/hold/a", "whole", 7, "crate").status, 200);
}

/// A response whose status is not one of HTTP is a failure, not an answer.
#[test]
fn status_000_as_answer() {
    let (site, switches) = start();
    for status in ["000", "099", "0", "20", "2000", "101", "-20"] {
        set(&switches, Fault::Status(status));
        for (kind, response) in [
            ("w", site.post(0, "/hold/a", &format!("w{status}"), 7, "crate")),
            ("r", site.get(0, "/stock/a", &format!("r{status}"), 7)),
            ("f", site.get(1, "/files/a", &format!("f{status}"), 7)),
            ("m", site.get(2, "/maps/a", &format!("m{status}"), 7)),
        ] {
            assert!(matches!(response.status, 502 | 504), "{kind} {status}: {response:?}");
            assert!(!response.stamped, "{kind} {status}: {response:?}");
        }
        let writes = site.run_ids().into_iter().filter(|run| *run == format!("w{status}")).count();
        assert_eq!(writes, 1, "status {status}");
    }
    set(&switches, Fault::None);
    assert_eq!(site.get(0, "/files/a", "last", 7).status, 200);
}
