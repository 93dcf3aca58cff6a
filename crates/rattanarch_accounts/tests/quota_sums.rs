//! What all daemons together run of an account, and what they refuse.

mod fleet;

use std::time::Duration;

use fleet::DAEMONS;
use fleet::Demand;
use fleet::Fleet;
use rattanarch_accounts::RateLimit;
use rattanarch_types::Moment;

/// Time after which all daemons are counted and the buckets are full.
const START: Duration = Duration::from_secs(5);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Usual rates of a few accounts of different size.
const USUAL: [f64; 4] = [200.0, 60.0, 15.0, 2.0];

/// A fleet with these accounts, which has served their usual demand.
fn usual() -> Fleet {
    let demand = |(index, usual): (usize, &f64)| Demand::new(&format!("a-{index}"), *usual);
    let mut fleet = Fleet::new(USUAL.iter().enumerate().map(demand).collect());
    fleet.run(START);
    fleet
}

/// Such a fleet whose accounts have just begun to send eight times as much, through other daemons.
fn surging() -> Fleet {
    let mut fleet = usual();
    for (index, demand) in fleet.demands.iter_mut().enumerate() {
        demand.place(USUAL[index] * 8.0, index * 11);
    }
    fleet
}

/// Part of the requests since `from` that were refused.
fn refused_ratio(fleet: &Fleet, from: Moment) -> f64 {
    let count = |list| -> usize {
        fleet.demands.iter().map(|demand| Fleet::count_since(list, demand.flow, from)).sum()
    };
    let (runs, refused) = (count(&fleet.runs), count(&fleet.refused));
    refused as f64 / (runs + refused).max(1) as f64
}

/// Part of the rate of the largest account that was used in the last 9 s.
fn used_ratio(fleet: &Fleet) -> f64 {
    let runs = Fleet::count_since(&fleet.runs, fleet.demands[0].flow, fleet.now - seconds(9));
    runs as f64 / 9.0 / fleet.demands[0].limit.rate()
}

/// Guards against refusals within the quota, and against datagrams that exceed 60 a second and daemon, at the load of the
/// platform: 75 accounts, 2,300 requests a second.
#[test]
fn usual_load() {
    let mut demands = Vec::new();
    for (kind, count, usual) in [("l", 5, 200.0), ("m", 20, 40.0), ("s", 50, 10.0)] {
        demands.extend((0..count).map(|index| Demand::new(&format!("{kind}-{index}"), usual)));
    }
    let mut fleet = Fleet::new(demands);
    fleet.run(START);
    let (from, before) = (fleet.now, fleet.sent.iter().sum::<u64>());
    fleet.run(seconds(6));
    let sent = (fleet.sent.iter().sum::<u64>() - before) as f64 / DAEMONS as f64 / 6.0;
    let (ratio, most) = (refused_ratio(&fleet, from), fleet.sent.iter().max().copied());
    eprintln!("usual load: refused {ratio:.5}, datagrams {sent:.1}, most since start {most:?}");
    assert!(ratio < 0.002, "{ratio} refused within the quota");
    assert!(sent < 60.0, "{sent} datagrams a second and daemon");
    fleet.assert_bounded("usual load", Moment::ZERO);
}

/// Guards against more than the rule allows while accounts send eight times their usual rate and datagrams get lost, and
/// against capacity that is not handed out.
#[test]
fn surge_and_loss() {
    let mut fleet = surging();
    fleet.loss = 100;
    fleet.run(seconds(20));
    fleet.assert_bounded("surge", Moment::ZERO);
    for demand in &fleet.demands {
        let runs = Fleet::count_since(&fleet.runs, demand.flow, fleet.now - seconds(10)) as f64;
        let used = runs / 10.0 / demand.limit.rate();
        eprintln!("surge: rate {:.0}, used {used:.2}", demand.limit.rate());
        assert!(used > 0.85, "{used} of the rate {} was used", demand.limit.rate());
    }
}

/// Guards against refusals when the callers of an account move to other daemons at once.
#[test]
fn shifted_demand() {
    let mut fleet = usual();
    let from = fleet.now;
    for shift in 1..4 {
        for demand in &mut fleet.demands {
            let rate = demand.rates.iter().sum();
            demand.place(rate, shift * 5);
        }
        fleet.run(seconds(2));
    }
    let ratio = refused_ratio(&fleet, from);
    eprintln!("shift: refused {ratio:.5}");
    assert!(ratio < 0.005, "{ratio} refused within the quota");
    fleet.assert_bounded("shift", Moment::ZERO);
}

/// Guards against two sides of a partition that both spend the whole, when it begins, while it lasts and when it ends.
#[test]
fn partition() {
    let mut fleet = surging();
    fleet.run(seconds(8));
    (0..24).for_each(|daemon| fleet.sides[daemon * 2] = 1);
    let from = fleet.now;
    fleet.run(seconds(12));
    let runs = Fleet::count_since(&fleet.runs, fleet.demands[0].flow, from + seconds(4));
    let used = runs as f64 / 8.0 / fleet.demands[0].limit.rate();
    eprintln!("partition: used {used:.2}");
    assert!(used > 0.8, "{used} of the rate was used while partitioned");
    fleet.sides.fill(0);
    fleet.run(seconds(10));
    fleet.assert_bounded("partition", Moment::ZERO);
}

/// Guards against daemons that are counted by several coordinators, while the network splits in other ways again and
/// again.
#[test]
fn repeated_partitions() {
    let mut fleet = surging();
    fleet.run(seconds(8));
    for round in 0..8 {
        for (daemon, side) in fleet.sides.iter_mut().enumerate() {
            *side = u8::from((daemon >> (round % 3)) % 2 == round % 2);
        }
        fleet.run(Duration::from_millis(1_300));
    }
    fleet.sides.fill(0);
    fleet.run(seconds(8));
    fleet.assert_bounded("repeated partitions", Moment::ZERO);
}

/// Guards against shares that are small for each daemon and not in their sum, when no daemon reaches another.
#[test]
fn isolated_daemons() {
    let mut fleet = surging();
    let sides = fleet.sides.iter_mut().enumerate();
    sides.for_each(|(daemon, side)| *side = daemon as u8);
    fleet.demands.iter_mut().for_each(|demand| demand.rates.fill(2.0));
    fleet.run(seconds(30));
    fleet.assert_bounded("isolated", Moment::ZERO);
    for demand in &fleet.demands[..3] {
        let runs = Fleet::count_since(&fleet.runs, demand.flow, fleet.now - seconds(10)) as f64;
        let used = runs / 10.0 / demand.limit.rate();
        eprintln!("isolated: rate {:.0}, used {used:.2}", demand.limit.rate());
    }
}

/// Guards against a coordinator that grants on after a pause, while another one has taken over, and against one that is
/// gone for good.
#[test]
fn paused_coordinators() {
    let mut fleet = surging();
    fleet.run(seconds(8));
    for pause in [400, 700, 3_000, 1_000] {
        let daemon = fleet.main_coordinator();
        fleet.paused[daemon] = fleet.now + Duration::from_millis(pause);
        fleet.run(seconds(5));
    }
    let lost = fleet.main_coordinator();
    fleet.paused[lost] = Moment::MAX;
    fleet.run(seconds(8));
    fleet.assert_bounded("paused", Moment::ZERO);
    let runs = Fleet::count_since(&fleet.runs, fleet.demands[0].flow, fleet.now - seconds(4));
    let used = runs as f64 / 4.0 / fleet.demands[0].limit.rate();
    eprintln!("paused: used {used:.2}");
    assert!(used > 0.8, "{used} of the rate was used after the loss");
}

/// Guards against refusals within the quota, and against coordinators that are regarded as silent, while grants arrive up
/// to 400 ms late, as those of a machine that has little processor time or a narrow link.
#[test]
fn late_grants() {
    let mut results = Vec::new();
    for delay in [(60, 100), (120, 200), (250, 400), (60, 400)] {
        let mut fleet = usual();
        let (from, before) = (fleet.now, fleet.sent.iter().sum::<u64>());
        fleet.delays.fill(delay);
        fleet.run(seconds(10));
        let (ratio, silent) = (refused_ratio(&fleet, from), fleet.silent());
        let sent = (fleet.sent.iter().sum::<u64>() - before) as f64 / DAEMONS as f64 / 10.0;
        eprintln!("late grants {delay:?}: refused {ratio:.5}, silent {silent}, sent {sent:.1}");
        fleet.assert_bounded("late grants", Moment::ZERO);
        results.push((delay, ratio, silent));
    }
    for (delay, ratio, silent) in results {
        assert!(ratio < 0.01, "{ratio} refused within the quota with delays {delay:?}");
        assert_eq!(silent, 0, "a coordinator that replies is regarded as silent");
    }
}

/// Guards against more than the rule allows, and against capacity that is not handed out, while accounts send eight times
/// their usual rate, grants are late and datagrams get lost.
#[test]
fn late_grants_surge() {
    let mut results = Vec::new();
    for delay in [(60, 200), (60, 400), (300, 400)] {
        let mut fleet = surging();
        fleet.delays.fill(delay);
        fleet.loss = 50;
        fleet.run(seconds(12));
        for changed in [(0, 0), delay, (0, 0)] {
            fleet.delays.fill(changed);
            fleet.run(seconds(3));
        }
        results.push((delay, used_ratio(&fleet)));
        // A coordinator that is replaced while requests to it are still under way.
        fleet.delays.fill(delay);
        for pause in [900, 1_500] {
            let daemon = fleet.main_coordinator();
            fleet.paused[daemon] = fleet.now + Duration::from_millis(pause);
            fleet.run(seconds(5));
        }
        fleet.assert_bounded("late grants, surge", Moment::ZERO);
    }
    for (delay, used) in results {
        eprintln!("late grants, surge {delay:?}: used {used:.2}");
        assert!(used > 0.8, "{used} of the rate was used with delays {delay:?}");
    }
}

/// Guards against refusals within the quota while one datagram in twenty is lost.
#[test]
fn lost_datagrams() {
    let mut results = Vec::new();
    for delays in [(0, 0), (60, 250)] {
        let mut fleet = usual();
        let from = fleet.now;
        fleet.loss = 20;
        fleet.delays.fill(delays);
        fleet.run(seconds(10));
        let ratio = refused_ratio(&fleet, from);
        eprintln!("loss, delays {delays:?}: refused {ratio:.5}, silent {}", fleet.silent());
        fleet.assert_bounded("loss", Moment::ZERO);
        results.push((delays, ratio));
    }
    for (delays, ratio) in results {
        assert!(ratio < 0.01, "{ratio} refused within the quota with delays {delays:?}");
    }
}

/// Guards against refusals when a coordinator leaves as planned, which daemons learn at different times, and against long
/// ones when one is lost.
#[test]
fn changed_coordinators() {
    let mut fleet = usual();
    let (from, leaving) = (fleet.now, fleet.main_coordinator());
    for step in 0..5 {
        let learning = (0..DAEMONS).filter(|daemon| daemon % 5 == step);
        learning.for_each(|daemon| fleet.learn_leaving(daemon, leaving));
        fleet.run(Duration::from_millis(200));
    }
    fleet.run(seconds(5));
    let planned = refused_ratio(&fleet, from);
    let (from, lost) = (fleet.now, fleet.main_coordinator());
    fleet.paused[lost] = Moment::MAX;
    fleet.run(seconds(10));
    let sudden = refused_ratio(&fleet, from);
    eprintln!("changes: refused {planned:.5} planned, {sudden:.5} sudden");
    assert!(planned < 0.03, "{planned} refused at a planned change");
    assert!(sudden < 0.25, "{sudden} refused after a loss");
    fleet.assert_bounded("changes", Moment::ZERO);
}

/// Guards against a lowered limit that is not binding one window after it has reached all daemons, which learn it at
/// different times.
#[test]
fn lowered_limit() {
    let mut fleet = surging();
    fleet.run(seconds(8));
    for demand in &mut fleet.demands {
        let old = demand.limit;
        fleet.old_limits.iter_mut().for_each(|limits| limits.extend([(demand.flow, old)]));
        demand.limit = RateLimit::new(old.rate() / 4.0, old.burst() / 4.0).expect("limit is valid");
    }
    for step in 0..5 {
        (0..DAEMONS)
            .filter(|daemon| daemon % 5 == step)
            .for_each(|daemon| fleet.old_limits[daemon].clear());
        fleet.run(Duration::from_millis(500));
    }
    let binding = fleet.now;
    fleet.run(seconds(12));
    fleet.assert_bounded("lowered", binding);
}
