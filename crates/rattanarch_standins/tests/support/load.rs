//! Load on a fleet, and checks of the upstreams' journals.

use std::time::Duration;
use std::time::Instant;

use rattanarch_standins::BackgroundLoad;
use rattanarch_standins::Fleet;
use rattanarch_standins::LoadReport;
use rattanarch_standins::LoadSettings;
use rattanarch_standins::UpstreamFaults;
use rattanarch_standins::check_acknowledged;
use rattanarch_standins::check_at_most_once;
use rattanarch_standins::check_exclusive;
use rattanarch_types::Record;

/// Maximum wait for an expected state; allows for a busy machine.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(60);

/// Rate of the load, in requests per second.
const RATE: f64 = 120.0;

/// Waits until every member of the co-op's keyed service has three witnesses, so that it can lose one.
/// The first members that join have fewer.
#[allow(dead_code, reason = "not used by all tests")]
pub(crate) fn wait_for_witnesses(fleet: &Fleet) -> Record {
    let start = Instant::now();
    let record = fleet.wait_record("trade-desk", "three witnesses per member", TIMEOUT, |record| {
        record.members.values().all(|member| member.witnesses.len() == 3)
    });
    eprintln!("three witnesses per member after {} ms", start.elapsed().as_millis());
    record.expect("three witnesses per member")
}

/// Slows all upstreams down, so that requests are in flight at any time and the executions of two
/// owners of a key would overlap.
#[allow(dead_code, reason = "not used by all tests")]
pub(crate) fn slow_upstreams(fleet: &Fleet) {
    for slot in &fleet.slots {
        let faults = UpstreamFaults { delay_ms: Some(60), ..UpstreamFaults::default() };
        slot.set_faults(faults).expect("the upstream accepts the faults");
    }
}

/// Starts load on all daemons of a fleet.
pub(crate) fn start_load(fleet: &Fleet, seconds: u64) -> BackgroundLoad {
    let settings = LoadSettings::default().with_targets(fleet.targets()).with_rate(RATE);
    BackgroundLoad::start(settings.with_duration(Duration::from_secs(seconds)))
}

/// Waits for the end of the load and checks the upstreams' journals.
pub(crate) fn finish_load(fleet: &Fleet, load: BackgroundLoad) -> LoadReport {
    let report = load.finish().expect("a report");
    eprintln!("{report}");
    assert_eq!(report.wrong, 0, "{report}");
    let journals = fleet.journals().expect("journals");
    check_exclusive(&journals).expect("one owner per key at a time");
    check_at_most_once(&journals).expect("no duplicate write");
    check_acknowledged(&journals, &report.acknowledged).expect("no lost write");
    report
}
