//! A daemon that loses only the platform keeps serving and receives configurations by gossip.
//!
//! After the connection is back, stale reads from the platform must not replace the newer configuration.

mod relay_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rattanarch_standins::Fleet;
use rattanarch_standins::PlatformFaults;
use rattanarch_types::Configuration;
use rattanarch_types::Standing;
use relay_support::start_relayed_fleet;
use serde_json::Value;

/// Slot of the daemon that is isolated from the platform.
const ISOLATED: usize = 0;

/// Number of platform reads that return an old version after the connection is back.
const STALE_READS: u32 = 40;

fn version(fleet: &Fleet, slot: usize) -> u64 {
    let status: Value = fleet.slots[slot].read_operator("/status").expect("a status");
    status["configuration_version"].as_u64().expect("a number")
}

/// Stores a configuration that takes a data centre out, as a daemon does.
fn take_out(fleet: &Fleet, data_centre: &str) -> u64 {
    let path = "configuration/co-op";
    let object = fleet.platform().get(path).expect("an object");
    let mut configuration: Configuration =
        serde_json::from_value(object.value).expect("a configuration");
    configuration.data_centres.get_mut(data_centre).expect("a data centre").standing =
        Standing::Out;
    configuration.version = object.version + 1;
    configuration.write_id = object.version + 1;
    let value = serde_json::to_value(&configuration).expect("a value");
    fleet.platform().put(path, object.version, &value).expect("a stored object");
    configuration.version
}

#[test]
fn configuration_by_gossip() {
    let fleet = start_relayed_fleet(4);
    let load = relay_support::start_load(&fleet, 8);
    fleet.isolate_from_platform(ISOLATED);
    thread::sleep(Duration::from_secs(2));
    let accepted = take_out(&fleet, "nordkuehl");
    let start = Instant::now();
    while version(&fleet, ISOLATED) < accepted {
        assert!(
            start.elapsed() < relay_support::TIMEOUT,
            "the isolated daemon did not receive version {accepted}"
        );
        thread::sleep(Duration::from_millis(20));
    }
    eprintln!("in force at the isolated daemon after {} ms", start.elapsed().as_millis());
    let stale = PlatformFaults { stale_reads: Some(STALE_READS), ..PlatformFaults::default() };
    fleet.set_platform_faults(stale).unwrap();
    fleet.heal();
    while start.elapsed() < Duration::from_secs(6) {
        for slot in 0..fleet.slots.len() {
            assert!(version(&fleet, slot) >= accepted, "slot {slot} returned to an older version");
        }
        thread::sleep(Duration::from_millis(50));
    }
    let report = relay_support::finish_load(&fleet, load);
    assert_eq!(report.succeeded(), report.sent(), "{report}");
}
