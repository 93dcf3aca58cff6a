//! Choice of the slices that a busy member gives away.

use std::cmp::Reverse;
use std::time::Duration;

use rattanarch_types::BootId;
use rattanarch_types::SliceId;

use crate::LastingLoad;
use crate::MemberLoad;
use crate::slice_relief::MIN_IMBALANCE;
use crate::slice_relief::USED_SPARE_RATIO;
use crate::slice_relief::mean_utilization;
use crate::slice_relief::plan_hot_move;

/// Utilization up to which a member moves nothing: with two slots or more, moves cost more than they gain.
const MIN_UTILIZATION: f64 = 0.4;

/// Largest number of slices in one plan: each becomes a separate range in the lists of owners.
const MAX_SLICES: usize = 32;

/// Largest number of slices that are considered, to bound the work.
const MAX_CONSIDERED: usize = 64;

/// Number of members with the lowest utilization, and of those with the shortest gap, that are considered as receivers.
const RECEIVERS: usize = 8;

/// Part of a member's capacity that a slice has to use to be worth moving.
const MIN_SLICE_UTILIZATION: f64 = 0.003;

/// Utilization assumed in addition at a receiver: other owners may choose it at the same time.
const RECEIVER_RESERVE: f64 = 0.1;

/// Ratio of gain to cost from which a move pays off. It covers the error of a measured utilization, 5 to 10 %, and loads
/// that end earlier than expected.
const MIN_PAYOFF: f64 = 1.5;

/// Requests that a plan has to gain in addition to its cost: it needs a write to the store.
const MIN_NET_GAIN: f64 = 5.0;

/// Cost of a change of owner, in requests, beside those in its gap.
const CHANGE_COST: f64 = 0.3;

/// Time of a load from which the steady rates of slices count: a slice that was busy only briefly gains nothing over it.
const STEADY_SPAN: Duration = Duration::from_secs(5);

/// Load of one slice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SliceLoad {
    /// The slice.
    pub slice: SliceId,
    /// Requests per second, over the last one or two seconds.
    pub rate: f64,
    /// Requests per second, over some ten seconds.
    pub steady_rate: f64,
}

/// Slices that a member should give to others, with what is expected of it, in requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MovePlan {
    /// The slices and their receivers.
    pub moves: Vec<(SliceId, BootId)>,
    /// Requests that will be served in time only because of the moves.
    pub gain: f64,
    /// Requests that will not be served because of the moves.
    pub cost: f64,
    /// Slices whose move has a gain, but does not pay off.
    pub skipped: usize,
}

impl MovePlan {
    fn net_gain(&self) -> f64 {
        self.gain - self.cost
    }

    /// This plan if it pays off as a whole; otherwise one without moves.
    fn if_worthwhile(self) -> Self {
        if self.net_gain() >= MIN_NET_GAIN {
            return self;
        }
        Self { skipped: self.skipped + self.moves.len(), ..Self::default() }
    }
}

/// Slices that the member `own` should give to others, and their receivers. `lasting` is its utilization over several
/// times.
///
/// Designed for fleets of 10 to 200 members with machines of unlike speed and skewed slice rates, where a few members are
/// busy for tens of seconds, a hot key may appear and go within seconds, the whole service may be overloaded, and a slice
/// that moves is not served for 0.3 to 1.5 s. A member well above the mean gives away at most what it has above it, to
/// members that stay below it, so that an overloaded service does not move its excess in circles. Of these moves only
/// those are made that pay off. A move costs the requests of its gap. It gains what owner and receiver cannot serve in
/// time without it, less the same with it, for the time that the load lasts: a load that has lasted for some time is
/// expected to last for as long again. Slices are given away only where the gain is a multiple of the cost, the busiest
/// first, each to the member where cost and additional late requests are lowest.
pub fn plan_slice_moves(
    own: MemberLoad,
    lasting: &[LastingLoad],
    slices: &[SliceLoad],
    others: &[MemberLoad],
) -> MovePlan {
    let mean = mean_utilization(own, others);
    if own.utilization <= MIN_UTILIZATION || own.utilization < mean * MIN_IMBALANCE {
        return MovePlan::default();
    }
    let mut slices = busiest(own.request_cost, slices);
    slices.truncate(MAX_CONSIDERED);
    let hot_plan = plan_hot_slice(own, lasting, &slices, others);
    if !hot_plan.moves.is_empty() {
        return hot_plan;
    }
    let surplus = own.utilization - mean;
    best_plan(own, lasting, surplus, &slices, &receivers(mean, others))
}

/// The move of a slice that overloads its owner by itself to a member that is much faster, which may exceed the mean then.
fn plan_hot_slice(
    own: MemberLoad,
    lasting: &[LastingLoad],
    slices: &[SliceLoad],
    others: &[MemberLoad],
) -> MovePlan {
    let hot_move = plan_hot_move(own, slices, others);
    let receiver = |to| others.iter().find(|other| other.member == to);
    let Some(receiver) = hot_move.and_then(|(_, to)| receiver(to)) else {
        return MovePlan::default();
    };
    let unlimited =
        Receiver { load: *receiver, limit: f64::INFINITY, shared_limit: receiver.utilization };
    best_plan(own, lasting, f64::INFINITY, &slices[..1], &[unlimited])
}

/// The plan with the highest net gain of those for the times of `lasting`.
fn best_plan(
    own: MemberLoad,
    lasting: &[LastingLoad],
    surplus: f64,
    slices: &[SliceLoad],
    receivers: &[Receiver],
) -> MovePlan {
    let plans = lasting.iter().map(|load| plan_for(own, load, surplus, slices, receivers.to_vec()));
    let best = plans.max_by(|a, b| a.net_gain().total_cmp(&b.net_gain()));
    best.unwrap_or_default().if_worthwhile()
}

/// The moves of at most `surplus` utilization that pay off if the load lasts for the time of `load`.
fn plan_for(
    own: MemberLoad,
    load: &LastingLoad,
    mut surplus: f64,
    slices: &[SliceLoad],
    mut receivers: Vec<Receiver>,
) -> MovePlan {
    let mut plan = MovePlan::default();
    let mut utilization = load.expected(own.utilization);
    for slice in slices {
        if plan.moves.len() == MAX_SLICES
            || own.late_rate(utilization) * load.span.as_secs_f64() < MIN_NET_GAIN
        {
            break;
        }
        if slice.rate * own.request_cost > surplus {
            continue;
        }
        let rate = slice.rate_over(load.span);
        let left = (utilization - rate * own.request_cost).max(0.0);
        let saved = own.late_rate(utilization) - own.late_rate(left);
        let fitting = receivers.iter().enumerate().filter(|(_, receiver)| receiver.fits(slice));
        let offers = fitting.map(|(index, Receiver { load: receiver, .. })| {
            let gain = (saved - added_late_rate(receiver, rate)) * load.span.as_secs_f64();
            (index, gain, receiver.gap.as_secs_f64() * slice.rate + CHANGE_COST)
        });
        let best = offers.max_by(|a, b| (a.1 - a.2).total_cmp(&(b.1 - b.2)));
        let Some((index, gain, cost)) = best.filter(|(_, gain, _)| *gain > 0.0) else { continue };
        if gain < cost * MIN_PAYOFF {
            plan.skipped += 1;
            continue;
        }
        utilization = left;
        surplus -= slice.rate * own.request_cost;
        receivers[index].take(slice);
        plan.moves.push((slice.slice, receivers[index].load.member));
        plan.gain += gain;
        plan.cost += cost;
    }
    plan
}

impl LastingLoad {
    /// The utilization that is expected to last for the span, at a member whose utilization is `current`. Within a short
    /// span the load goes on as it is now: the mean over the span would show a surge only after it has lasted for as long.
    fn expected(&self, current: f64) -> f64 {
        if self.span < STEADY_SPAN { current } else { self.utilization.min(current) }
    }
}

impl SliceLoad {
    /// The rate that is expected to last for `span`.
    fn rate_over(&self, span: Duration) -> f64 {
        if span < STEADY_SPAN { self.rate } else { self.rate.min(self.steady_rate) }
    }
}

/// Requests a second that `receiver` will not serve in time because of `rate` more.
fn added_late_rate(receiver: &MemberLoad, rate: f64) -> f64 {
    let before = receiver.utilization + RECEIVER_RESERVE;
    receiver.late_rate(before + rate * receiver.request_cost) - receiver.late_rate(before)
}

/// Member that may receive slices.
#[derive(Clone, Copy, Debug)]
struct Receiver {
    load: MemberLoad,
    /// Utilization up to which it may take one slice.
    limit: f64,
    /// Utilization up to which it may take further slices of the same plan.
    shared_limit: f64,
}

impl Receiver {
    /// A receiver that stays below the `mean`.
    fn below(mean: f64, load: MemberLoad) -> Self {
        let spare = mean - load.utilization;
        Self { load, limit: mean, shared_limit: load.utilization + spare * USED_SPARE_RATIO }
    }

    fn fits(&self, slice: &SliceLoad) -> bool {
        self.load.utilization + slice.rate * self.load.request_cost <= self.limit
    }

    fn take(&mut self, slice: &SliceLoad) {
        self.load.utilization += slice.rate * self.load.request_cost;
        self.limit = self.shared_limit;
    }
}

/// Members that may receive slices: of those below the `mean`, the ones with the lowest utilization and the ones with the
/// shortest gap.
fn receivers(mean: f64, others: &[MemberLoad]) -> Vec<Receiver> {
    let below = others.iter().filter(|other| other.utilization < mean);
    let mut rest: Vec<_> = below.map(|load| Receiver::below(mean, *load)).collect();
    rest.sort_by(|Receiver { load: a, .. }, Receiver { load: b, .. }| {
        a.utilization.total_cmp(&b.utilization).then(a.member.cmp(&b.member))
    });
    let mut receivers: Vec<_> = rest.drain(..rest.len().min(RECEIVERS)).collect();
    rest.sort_by_key(|receiver| (receiver.load.gap, receiver.load.member));
    receivers.extend(rest.into_iter().take(RECEIVERS));
    receivers
}

/// Slices that are worth moving, busiest first.
pub(crate) fn busiest(request_cost: f64, slices: &[SliceLoad]) -> Vec<SliceLoad> {
    let worth_moving =
        slices.iter().copied().filter(|slice| slice.rate * request_cost >= MIN_SLICE_UTILIZATION);
    let mut busiest: Vec<_> = worth_moving.collect();
    busiest.sort_by(|a, b| b.rate.total_cmp(&a.rate).then(Reverse(a.slice).cmp(&Reverse(b.slice))));
    busiest
}
