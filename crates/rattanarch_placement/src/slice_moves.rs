//! Choice of the slices that a busy member gives away.

use std::cmp::Reverse;
use std::time::Duration;

use rattanarch_types::BootId;
use rattanarch_types::SliceId;

use crate::LastingLoad;
use crate::MemberLoad;

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
/// busy for tens of seconds, a hot key may appear and go within seconds, and a slice that moves is not served for 0.3 to
/// 1.5 s. A move costs the requests of its gap. It gains what owner and receiver cannot serve in time without it, less
/// the same with it, for the time that the load lasts: a load that has lasted for some time is expected to last for as
/// long again. Slices are given away only where the gain is a multiple of the cost, the busiest first, each to the member
/// where cost and additional late requests are lowest.
pub fn plan_slice_moves(
    own: MemberLoad,
    lasting: &[LastingLoad],
    slices: &[SliceLoad],
    others: &[MemberLoad],
) -> MovePlan {
    if own.utilization <= MIN_UTILIZATION {
        return MovePlan::default();
    }
    let mut slices = busiest(own.request_cost, slices);
    slices.truncate(MAX_CONSIDERED);
    let receivers = receivers(own, others);
    let plans = lasting.iter().map(|load| plan_for(own, load, &slices, receivers.clone()));
    let best = plans.max_by(|a, b| a.net_gain().total_cmp(&b.net_gain()));
    best.unwrap_or_default().if_worthwhile()
}

/// The moves that pay off if the load lasts for the time of `load`.
fn plan_for(
    own: MemberLoad,
    load: &LastingLoad,
    slices: &[SliceLoad],
    mut receivers: Vec<MemberLoad>,
) -> MovePlan {
    let mut plan = MovePlan::default();
    let mut utilization = load.utilization.min(own.utilization);
    for slice in slices {
        if plan.moves.len() == MAX_SLICES
            || own.late_rate(utilization) * load.span.as_secs_f64() < MIN_NET_GAIN
        {
            break;
        }
        let rate = slice.rate_over(load.span);
        let left = (utilization - rate * own.request_cost).max(0.0);
        let saved = own.late_rate(utilization) - own.late_rate(left);
        let offers = receivers.iter().enumerate().map(|(index, receiver)| {
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
        receivers[index].utilization += rate * receivers[index].request_cost;
        plan.moves.push((slice.slice, receivers[index].member));
        plan.gain += gain;
        plan.cost += cost;
    }
    plan
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

/// Members that may receive slices: those with the lowest utilization and those with the shortest gap, as far as they are
/// less utilized than `own`.
fn receivers(own: MemberLoad, others: &[MemberLoad]) -> Vec<MemberLoad> {
    let less_utilized =
        |other: &&MemberLoad| other.utilization + RECEIVER_RESERVE < own.utilization;
    let mut rest: Vec<MemberLoad> = others.iter().filter(less_utilized).copied().collect();
    rest.sort_by(|a, b| a.utilization.total_cmp(&b.utilization).then(a.member.cmp(&b.member)));
    let mut receivers: Vec<MemberLoad> = rest.drain(..rest.len().min(RECEIVERS)).collect();
    rest.sort_by_key(|other| (other.gap, other.member));
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
