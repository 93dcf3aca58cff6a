//! Times to return that callers are told when the upstream lacks capacity, without and with the retry schedule.

mod mesh_support;

use mesh_support::Site;
use mesh_support::wait_until;

/// Refusals from which it is told whether times have jitter. That each of them draws less than a fortieth of the jitter by
/// chance happens once in 10^19 runs.
const REFUSALS: usize = 12;

/// Metric of the times that callers are told by the schedule.
const SCHEDULED_METRIC: &str = "rattanarch_retry_times";

/// Sends requests to a daemon whose upstream takes none. Returns for each refusal the longest time in milliseconds that the
/// daemon decided on, by its log, and the time that the caller was told.
fn refusals(site: &Site) -> Vec<(f64, f64)> {
    wait_until("the key is served", || site.get(0, "/stock/a", "served", 1).status == 200);
    site.upstreams[0].set_rate_limit("0");
    wait_until("the limit is known", || site.get(0, "/stock/a", "limit", 1).body == "rate-limited");
    let ids: Vec<_> = (0..REFUSALS).map(|index| format!("refused-{index}")).collect();
    let told = ids.iter().map(|id| {
        let response = site.get(0, "/stock/a", id, 1);
        assert_eq!((response.status, response.body.as_str()), (503, "rate-limited"));
        let told: f64 = response.retry_after.expect("a time").parse().expect("seconds");
        told * 1e3
    });
    let told: Vec<_> = told.collect();
    wait_until("the last refusal is logged", || {
        delays(&site.daemons[0].log(), &ids[REFUSALS - 1]).next().is_some()
    });
    let log = site.daemons[0].log();
    let decided = |id: &String| delays(&log, id).fold(0.0, f64::max);
    ids.iter().map(decided).zip(told).collect()
}

/// Delays in milliseconds of the refusals of the request `id` in `log`.
fn delays(log: &str, id: &str) -> impl Iterator<Item = f64> {
    let id = format!("\"{id}\"");
    let lines = log.lines().filter(move |line| line.contains(&id));
    lines.filter_map(|line| line.split("retry after ").nth(1)?.split("ms").next()?.parse().ok())
}

/// Guards against times without jitter, and a schedule, where the setting does not ask for them.
#[test]
fn jitter_without_schedule() {
    let site = Site::start(1, 0);
    let refusals = refusals(&site);
    assert!(refusals.iter().all(|(decided, told)| *told + 2.0 >= *decided), "{refusals:?}");
    assert!(refusals.iter().any(|(decided, told)| *told > *decided * 1.01 + 2.0), "{refusals:?}");
    assert_eq!(site.metric(0, SCHEDULED_METRIC), None);
}

/// Guards against jitter that takes callers past their turn.
#[test]
fn schedule_without_jitter() {
    let mut site = Site::start(1, 0);
    site.daemons[0].set_retry_schedule();
    site.restart_daemon(0);
    site.wait_served();
    let refusals = refusals(&site);
    let differs = |(decided, told): &(f64, f64)| (told - decided.max(20.0)).abs() > 2.0;
    assert!(!refusals.iter().any(differs), "{refusals:?}");
    wait_until("the metric is shown", || site.metric(0, SCHEDULED_METRIC) > Some(0));
}
