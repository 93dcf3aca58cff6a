//! Work at all upstreams is slow, and within their slots.

mod support;

use rattanarch_standins::Fleet;
use rattanarch_standins::LoadReport;
use rattanarch_standins::UpstreamFaults;

/// Extra time of all work: with it, about 5 of 20 slots are busy.
const DELAY_MS: u64 = 200;

/// Requests without room, of all attempts.
fn refused(report: &LoadReport) -> u64 {
    let refused = report.answers.iter().filter(|(answer, _)| answer.starts_with("503"));
    refused.map(|(_, count)| count).sum()
}

fn slow_down(fleet: &Fleet) {
    for slot in &fleet.slots {
        let faults = UpstreamFaults { delay_ms: Some(DELAY_MS), ..UpstreamFaults::default() };
        slot.set_faults(faults).expect("a slower upstream");
    }
}

#[test]
fn turn_slow() {
    let fleet = support::trade_desk(5);
    support::judge(&fleet, support::load(&fleet, 15));
    slow_down(&fleet);
    let report = support::judge(&fleet, support::load(&fleet, 15));
    assert_eq!(report.succeeded(), report.sent(), "{report}");
    assert!(refused(&report) * 20 <= report.sent(), "{report}");
}

#[test]
fn start_slow() {
    let fleet = support::trade_desk(5);
    slow_down(&fleet);
    let report = support::judge(&fleet, support::load(&fleet, 8));
    // Some may find no room while the limits grow.
    assert!(refused(&report) * 4 <= report.sent(), "{report}");
}
