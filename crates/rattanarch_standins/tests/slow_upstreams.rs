//! Upstreams that are slow but have free slots: the limits of the admission controllers must adapt and
//! refuse few requests.

mod support;

use rattanarch_standins::Fleet;
use rattanarch_standins::LoadReport;
use rattanarch_standins::UpstreamFaults;

/// Added execution time of all requests; about 5 of 20 slots are then busy.
const DELAY_MS: u64 = 200;

/// Number of attempts that were refused.
fn refused(report: &LoadReport) -> u64 {
    let refused = report.answers.iter().filter(|(outcome, _)| outcome.starts_with("503"));
    refused.map(|(_, count)| count).sum()
}

fn slow_upstreams(fleet: &Fleet) {
    for slot in &fleet.slots {
        let faults = UpstreamFaults { delay_ms: Some(DELAY_MS), ..UpstreamFaults::default() };
        slot.set_faults(faults).expect("the upstream accepts the faults");
    }
}

#[test]
fn slow_later() {
    let fleet = support::start_fleet(5);
    support::finish_load(&fleet, support::start_load(&fleet, 15));
    slow_upstreams(&fleet);
    let report = support::finish_load(&fleet, support::start_load(&fleet, 15));
    assert_eq!(report.succeeded(), report.sent(), "{report}");
    assert!(refused(&report) * 20 <= report.sent(), "{report}");
}

#[test]
fn slow_initially() {
    let fleet = support::start_fleet(5);
    slow_upstreams(&fleet);
    let report = support::finish_load(&fleet, support::start_load(&fleet, 8));
    // Some requests may be refused while the limits grow.
    assert!(refused(&report) * 4 <= report.sent(), "{report}");
}
