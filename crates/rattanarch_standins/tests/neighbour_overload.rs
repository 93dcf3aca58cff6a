//! One firm's overload on a machine that another firm's service shares.

use std::time::Duration;

use rattanarch_standins::BackgroundLoad;
use rattanarch_standins::Firm;
use rattanarch_standins::Fleet;
use rattanarch_standins::LoadReport;
use rattanarch_standins::LoadSettings;
use rattanarch_standins::ServicePlan;
use rattanarch_standins::UpstreamFaults;
use serde_json::Value;

/// Longest start of a fleet on a busy machine.
const START_LIMIT: Duration = Duration::from_secs(60);
/// The co-op's work takes this long: 40 slots bear 100 requests a second of it.
const DELAY_MS: u64 = 400;
/// Three times what the co-op's upstreams bear.
const OVERLOAD: f64 = 300.0;
/// The neighbour's requests a second.
const RATE: f64 = 60.0;
/// The neighbour's latency may be this multiple of what it is alone, on a busy machine.
const RATIO: u64 = 10;

fn start_load(fleet: &Fleet, firm: Firm, rate: f64) -> BackgroundLoad {
    let settings = LoadSettings::default().with_targets(fleet.targets()).with_firm(firm);
    BackgroundLoad::start(settings.with_rate(rate).with_duration(Duration::from_secs(8)))
}

/// Requests that the daemons of a service have refused, by their own account.
fn refused(fleet: &Fleet, service: &str) -> u64 {
    let slots = fleet.slots.iter().filter(|slot| slot.service() == service);
    let counts = slots.map(|slot| {
        let status: Value = slot.read_operator("/status").expect("a status");
        let refusals = status["refusals"].as_object().expect("counts by reason").clone();
        refusals.values().filter_map(Value::as_u64).sum::<u64>()
    });
    counts.sum()
}

/// Slowest median of the firm's kinds, in microseconds.
fn median(report: &LoadReport) -> u64 {
    report.kinds.values().map(|kind| kind.p50_us).max().unwrap_or_default()
}

#[test]
fn other_firm() {
    let plans = [ServicePlan::trade_desk(2), ServicePlan::reservas(2)];
    let fleet = Fleet::start(&plans).unwrap();
    fleet.wait_serving(START_LIMIT).unwrap();
    let alone = start_load(&fleet, Firm::AguasLibres, RATE).finish().unwrap();
    for slot in fleet.slots.iter().filter(|slot| slot.service() == "trade-desk") {
        let faults = UpstreamFaults { delay_ms: Some(DELAY_MS), ..UpstreamFaults::default() };
        slot.set_faults(faults).unwrap();
    }
    let before = [refused(&fleet, "trade-desk"), refused(&fleet, "reservas")];
    let overload = start_load(&fleet, Firm::Coop, OVERLOAD);
    let beside = start_load(&fleet, Firm::AguasLibres, RATE).finish().unwrap();
    let overload = overload.finish().unwrap();
    let after = [refused(&fleet, "trade-desk"), refused(&fleet, "reservas")];
    eprintln!("{alone}{beside}{overload}refusals {before:?}, then {after:?}");
    assert!(after[0] > before[0] + 100, "no overload: {before:?}, then {after:?}");
    assert_eq!(after[1], before[1], "{beside}");
    assert_eq!((alone.wrong, beside.wrong, overload.wrong), (0, 0, 0));
    assert_eq!(beside.succeeded(), beside.sent(), "{beside}");
    let (alone, beside) = (median(&alone), median(&beside));
    assert!(beside <= alone * RATIO, "median {beside} µs beside, {alone} µs alone");
}
