//! Fencing tokens of daemons that skip versions of the record.

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
