//! Fencing tokens of daemons that skip versions of the record, or hear of older ones late.

mod mesh_support;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;

/// Guards against a fence that is used again: a daemon that learned only the last of several versions of the record
/// kept the fence of before, although another upstream may have held the keys under a higher one in between.
#[test]
fn versions_skipped() {
    let site = Site::start(2, 0);
    let mut record = site.store.record(DESK).expect("the service has a record");
    let version = record["version"].as_u64().expect("version is a number") + 2;
    record["version"] = version.into();
    // A writer that doesn't tell which slices have changed hands.
    record.as_object_mut().expect("it is an object").remove("fences");
    site.store.put_record(DESK, &record);
    wait_until("all fences are above those of the skipped version", || {
        let held: Vec<_> = site.upstreams.iter().flat_map(|upstream| upstream.held()).collect();
        site.held_keys() == 65_536 && held.iter().all(|(_, _, fence)| *fence >= version)
    });
}

/// Guards against a fence that a restarted daemon takes from a heartbeat older than the record: another upstream has held
/// the keys under a higher one since that heartbeat was sent.
#[test]
fn delayed_heartbeat() {
    let mut site = Site::start(2, 0);
    let before = site.upstreams[0].held();
    site.store.evacuate("centre-0");
    wait_until("the other upstream holds all keys", || site.upstreams[1].held_keys() == 65_536);
    let others = site.upstreams[1].held();
    site.store.end_evacuation("centre-0");
    wait_until("keys come back", || site.upstreams[0].held_keys() > 0);
    site.wait_served();
    let back = site.upstreams[0].held();
    site.upstreams[0].set_silent(true);
    let control = site.restart_daemon(0);
    let response = site.upstreams[0].send_delayed_heartbeat(control, 1, &before);
    assert_eq!(response, "HTTP/1.1 200 OK");
    site.upstreams[0].set_silent(false);
    let log = || site.daemons[0].log();
    wait_until("the daemon grants keys again", || {
        let log = log();
        log.rfind("keys granted") > log.rfind("upstream started")
    });
    let held_before = |key: u16| {
        others.iter().find(|range| range.0 <= key && key <= range.1).map(|range| range.2)
    };
    let log = log();
    let line = log.lines().rfind(|line| line.contains("keys granted")).expect("it was found");
    let line: serde_json::Value = serde_json::from_str(line).expect("lines are JSON");
    for range in line["keys"].as_str().expect("keys are text").split(' ') {
        let (keys, fence) = range.split_once(':').expect("a range has a fence");
        let first: u16 = keys.split('-').next().expect("a range has a first key").parse().unwrap();
        let fence: u64 = fence.parse().unwrap();
        assert!(
            Some(fence) > held_before(first),
            "{range}, held by the other under {others:?}, back as {back:?}"
        );
    }
}
