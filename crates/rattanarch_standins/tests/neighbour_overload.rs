//! Overload of one firm must not affect the service of another firm on the same machine.

use std::time::Duration;

use rattanarch_standins::BackgroundLoad;
use rattanarch_standins::Firm;
use rattanarch_standins::Fleet;
use rattanarch_standins::LoadReport;
use rattanarch_standins::LoadSettings;
use rattanarch_standins::ServicePlan;
use rattanarch_standins::UpstreamFaults;
use serde_json::Value;

/// Maximum start time of a fleet; allows for a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Execution time of the co-op's requests; the capacity of 40 slots is then 100 requests per second.
const DELAY_MS: u64 = 400;
/// Rate of the co-op's load, in requests per second; three times the capacity of its upstreams.
const OVERLOAD_RATE: f64 = 300.0;
/// Rate of the other firm's load, in requests per second.
const RATE: f64 = 60.0;
/// Maximum ratio of the other firm's latency during the overload to its latency without it; allows for
/// a busy machine.
const MAX_RATIO: u64 = 10;

fn start_load(fleet: &Fleet, firm: Firm, rate: f64) -> BackgroundLoad {
    let settings = LoadSettings::default().with_targets(fleet.targets()).with_firm(firm);
    BackgroundLoad::start(settings.with_rate(rate).with_duration(Duration::from_secs(8)))
}

/// Number of requests that the daemons of a service have refused, from their status.
fn refused(fleet: &Fleet, service: &str) -> u64 {
    let slots = fleet.slots.iter().filter(|slot| slot.service() == service);
    let counts = slots.map(|slot| {
        let status: Value = slot.read_operator("/status").expect("a status");
        let refusals = status["refusals"].as_object().expect("counts by reason").clone();
        refusals.values().filter_map(Value::as_u64).sum::<u64>()
    });
    counts.sum()
}

/// Highest median latency of the firm's kinds of requests, in microseconds.
fn median(report: &LoadReport) -> u64 {
    report.kinds.values().map(|kind| kind.p50_us).max().unwrap_or_default()
}

#[test]
fn other_firm_unaffected() {
    let plans = [ServicePlan::trade_desk(2), ServicePlan::reservas(2)];
    let fleet = Fleet::start(&plans).unwrap();
    fleet.wait_serving(START_TIMEOUT).unwrap();
    let alone = start_load(&fleet, Firm::AguasLibres, RATE).finish().unwrap();
    for slot in fleet.slots.iter().filter(|slot| slot.service() == "trade-desk") {
        let faults = UpstreamFaults { delay_ms: Some(DELAY_MS), ..UpstreamFaults::default() };
        slot.set_faults(faults).unwrap();
    }
    let before = [refused(&fleet, "trade-desk"), refused(&fleet, "reservas")];
    let overload = start_load(&fleet, Firm::Coop, OVERLOAD_RATE);
    let beside = start_load(&fleet, Firm::AguasLibres, RATE).finish().unwrap();
    let overload = overload.finish().unwrap();
    let after = [refused(&fleet, "trade-desk"), refused(&fleet, "reservas")];
    eprintln!("{alone}{beside}{overload}refusals {before:?}, then {after:?}");
    assert!(after[0] > before[0] + 100, "no overload: refusals {before:?}, then {after:?}");
    assert_eq!(after[1], before[1], "{beside}");
    assert_eq!((alone.wrong, beside.wrong, overload.wrong), (0, 0, 0));
    assert_eq!(beside.succeeded(), beside.sent(), "{beside}");
    let (alone, beside) = (median(&alone), median(&beside));
    assert!(
        beside <= alone * MAX_RATIO,
        "median of {beside} µs during the overload, {alone} µs without it"
    );
}
