//! Slices leave members whose upstreams take fewer requests a second than their slots could do.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanarch_placement::LastingLoad;
use rattanarch_placement::MemberLoad;
use rattanarch_placement::SliceLoad;
use rattanarch_placement::plan_slice_moves;
use rattanarch_types::BootId;
use rattanarch_types::SliceId;

/// Slices of the service.
const SLICES: SliceId = 1_024;

/// Requests a second that a member takes.
type Capacities = BTreeMap<BootId, f64>;

/// Owners and request rates of all slices.
struct Fleet {
    capacities: Capacities,
    owners: Vec<BootId>,
    rates: Vec<f64>,
    /// Slices moved so far.
    moved: usize,
}

impl Fleet {
    /// A fleet whose members own equally many slices, with a total of `rate` requests a second; the busiest slices get
    /// many times as much as most.
    fn new(capacities: &[f64], rate: f64) -> Self {
        let capacities: Capacities = (1..).zip(capacities.iter().copied()).collect();
        let members = capacities.len() as u64;
        let weight =
            |slice: u64| 1.0 / (1.0 + (slice.wrapping_mul(0x9E37_79B9) % 1_024) as f64).sqrt();
        let weights: Vec<f64> = (0..u64::from(SLICES)).map(weight).collect();
        let total: f64 = weights.iter().sum();
        Self {
            owners: (0..u64::from(SLICES)).map(|slice| slice % members + 1).collect(),
            rates: weights.into_iter().map(|weight| weight * rate / total).collect(),
            capacities,
            moved: 0,
        }
    }

    fn rate(&self, member: BootId) -> f64 {
        let owned = self.owners.iter().zip(&self.rates).filter(|(owner, _)| **owner == member);
        owned.map(|(_, rate)| rate).sum()
    }

    fn load(&self, member: BootId) -> MemberLoad {
        let request_cost = 1.0 / self.capacities[&member];
        let utilization = self.rate(member) * request_cost;
        MemberLoad { member, utilization, request_cost, slots: 12, gap: Duration::from_millis(600) }
    }

    /// All members plan with the same loads and move their slices at the same time.
    fn move_round(&mut self) {
        let loads: Vec<MemberLoad> = self.capacities.keys().map(|id| self.load(*id)).collect();
        let plans = loads.iter().map(|own| {
            let others: Vec<_> = loads.iter().filter(|l| l.member != own.member).copied().collect();
            let slices = (0..SLICES).filter(|s| self.owners[usize::from(*s)] == own.member);
            let load = |slice| {
                let rate = self.rates[usize::from(slice)];
                SliceLoad { slice, rate, steady_rate: rate }
            };
            let lasting =
                LastingLoad { span: Duration::from_secs(24), utilization: own.utilization };
            let slices: Vec<_> = slices.map(load).collect();
            plan_slice_moves(*own, &[lasting], &slices, &others).moves
        });
        let moves: Vec<(SliceId, BootId)> = plans.flatten().collect();
        self.moved += moves.len();
        for (slice, to) in moves {
            self.owners[usize::from(slice)] = to;
        }
    }

    /// Part of the requests that exceeds what their owners take.
    fn unserved(&self) -> f64 {
        let excess = |(id, capacity): (&BootId, &f64)| (self.rate(*id) - capacity).max(0.0);
        self.capacities.iter().map(excess).sum::<f64>() / self.rates.iter().sum::<f64>()
    }
}

/// Rounds of moves in which the others have to take what they can.
const ROUNDS: usize = 6;

/// If the fleet can serve all requests, at least nine tenths of what exceeds the limits find another owner, and no round of
/// moves makes things worse.
fn assert_relieved(capacities: &[f64], rate: f64) {
    let mut fleet = Fleet::new(capacities, rate);
    let first = fleet.unserved();
    let mut before = first;
    for round in 0..ROUNDS {
        fleet.move_round();
        let unserved = fleet.unserved();
        assert!(unserved <= before + 1e-9, "{unserved} after {before} in round {round}");
        before = unserved;
    }
    assert!(before <= first / 10.0, "{before} of {first} still unserved");
    assert!(fleet.moved <= usize::from(SLICES) / 2, "{} slices moved", fleet.moved);
}

/// Many members with a limit far below what their slots could do, beside few without one.
#[test]
fn most_members_limited() {
    assert_relieved(&[40.0, 40.0, 40.0, 40.0, 40.0, 40.0, 180.0, 180.0], 560.0);
}

/// Members that take next to nothing: their overload has to count for little in the mean.
#[test]
fn members_taking_nothing() {
    assert_relieved(&[0.017, 0.017, 180.0, 180.0, 180.0, 180.0, 180.0, 180.0], 700.0);
}
