//! Load on a fleet, and judgement by the upstreams' journals.

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

/// Longest wait for a state that must come, on a busy machine.
pub(crate) const LIMIT: Duration = Duration::from_secs(60);

/// Requests a second of the load.
const RATE: f64 = 120.0;

/// Waits until every member of the co-op's keyed service has three witnesses, of which it can lose
/// one; the first to join begin with fewer.
#[allow(dead_code, reason = "not every test wants it")]
pub(crate) fn wait_witnessed(fleet: &Fleet) -> Record {
    let start = Instant::now();
    let record = fleet.wait_record("trade-desk", "three witnesses a member", LIMIT, |record| {
        record.members.values().all(|member| member.witnesses.len() == 3)
    });
    eprintln!("three witnesses a member after {} ms", start.elapsed().as_millis());
    record.expect("three witnesses a member")
}

/// Makes work at all upstreams take longer, so that requests are under way at any time and two
/// owners of a key would be seen at work at one time.
#[allow(dead_code, reason = "not every test wants it")]
pub(crate) fn slow_down(fleet: &Fleet) {
    for slot in &fleet.slots {
        let faults = UpstreamFaults { delay_ms: Some(60), ..UpstreamFaults::default() };
        slot.set_faults(faults).expect("a slower upstream");
    }
}

/// Starts load on all daemons of a fleet.
pub(crate) fn load(fleet: &Fleet, seconds: u64) -> BackgroundLoad {
    let settings = LoadSettings::default().with_targets(fleet.targets()).with_rate(RATE);
    BackgroundLoad::start(settings.with_duration(Duration::from_secs(seconds)))
}

/// Waits for the load's end and judges by the upstreams' journals.
pub(crate) fn judge(fleet: &Fleet, load: BackgroundLoad) -> LoadReport {
    let report = load.finish().expect("a report");
    eprintln!("{report}");
    assert_eq!(report.wrong, 0, "{report}");
    let journals = fleet.journals().expect("journals");
    check_exclusive(&journals).expect("one owner a key");
    check_at_most_once(&journals).expect("no write twice");
    check_acknowledged(&journals, &report.acknowledged).expect("each acknowledged write ran");
    report
}
