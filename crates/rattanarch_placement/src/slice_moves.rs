//! Which slices a busy member gives away.

use std::cmp::Reverse;

use rattanarch_types::BootId;
use rattanarch_types::SliceId;

/// Part of a member's capacity in use above which it may give slices away. Below it, requests hardly
/// wait for each other, and a slice that moves is not served for about a heartbeat.
const BUSY: f64 = 0.5;

/// How much busier than the mean a member has to be.
const IMBALANCE: f64 = 1.2;

/// Part of a receiver's room that is filled: others may choose it at the same time.
const FILLED_PART: f64 = 0.6;

/// Receivers of one move.
const MAX_RECEIVERS: usize = 4;

/// Slices of one move: each makes a range of its own.
const MAX_SLICES: usize = 32;

/// Least part of a member's capacity that a slice has to use to be worth moving.
const MIN_LOAD: f64 = 0.003;

/// Part of a member's load that its hottest slice has to make up to be moved although it fits in no
/// one's room: giving the others away would not help.
const HOT_PART: f64 = 0.5;

/// Part of the giver's load that the receiver of such a slice may have with it: the slice is not served
/// for about a heartbeat, which a little more speed is not worth.
const FASTER_PART: f64 = 0.6;

/// Load of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLoad {
    /// The member.
    pub member: BootId,
    /// Offered work in parts of what its slots can do; above 1 if it is overloaded.
    pub utilization: f64,
    /// Part of its capacity that one request a second takes: more on a slower machine.
    pub request_cost: f64,
}

/// Load of one slice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SliceLoad {
    /// The slice.
    pub slice: SliceId,
    /// Requests a second.
    pub rate: f64,
}

/// Slices that the member `own` should give to others, and to whom.
///
/// Answers the load of few busy keys close to one another, and of one very busy key: its owner keeps
/// it and gives other slices away, unless it is overloaded by it and another member is much faster. A
/// member gives only if it is busy and well above the mean, only what is above the mean, and only to
/// members that stay below the mean with it.
pub fn plan_slice_moves(
    own: MemberLoad,
    slices: &[SliceLoad],
    others: &[MemberLoad],
) -> Vec<(SliceId, BootId)> {
    let total = own.utilization + others.iter().map(|other| other.utilization).sum::<f64>();
    let mean = total / (others.len() + 1) as f64;
    if own.utilization < BUSY || own.utilization < mean * IMBALANCE {
        return Vec::new();
    }
    if let Some(hottest) = hottest(own, slices, others) {
        return vec![hottest];
    }
    let mut receivers = receivers(mean, others);
    let mut surplus = own.utilization - mean;
    let mut moves = Vec::new();
    for slice in busiest(own.request_cost, slices) {
        let used = slice.rate * own.request_cost;
        if moves.len() == MAX_SLICES {
            break;
        }
        if used > surplus {
            continue;
        }
        let fit = receivers
            .iter_mut()
            .find(|receiver| receiver.utilization >= slice.rate * receiver.request_cost);
        if let Some(receiver) = fit {
            receiver.utilization -= slice.rate * receiver.request_cost;
            surplus -= used;
            moves.push((slice.slice, receiver.member));
        }
    }
    moves
}

/// The slice that overloads its owner by itself, and the member that serves it much better.
fn hottest(
    own: MemberLoad,
    slices: &[SliceLoad],
    others: &[MemberLoad],
) -> Option<(SliceId, BootId)> {
    let slice = slices.iter().max_by(|a, b| a.rate.total_cmp(&b.rate))?;
    if own.utilization < 1.0 || slice.rate * own.request_cost < own.utilization * HOT_PART {
        return None;
    }
    let with_it = |other: &MemberLoad| other.utilization + slice.rate * other.request_cost;
    let best = others.iter().min_by(|a, b| with_it(a).total_cmp(&with_it(b)))?;
    (with_it(best) <= own.utilization * FASTER_PART).then_some((slice.slice, best.member))
}

/// Members below `mean` with the most room first; `used` is then the room that may be filled.
fn receivers(mean: f64, others: &[MemberLoad]) -> Vec<MemberLoad> {
    let below = others.iter().filter(|other| other.utilization < mean);
    let room = |other: &MemberLoad| (mean - other.utilization) * FILLED_PART;
    let mut receivers: Vec<_> =
        below.map(|other| MemberLoad { utilization: room(other), ..*other }).collect();
    receivers.sort_by(|a, b| b.utilization.total_cmp(&a.utilization).then(a.member.cmp(&b.member)));
    receivers.truncate(MAX_RECEIVERS);
    receivers
}

/// Slices that are worth moving, the busiest first.
fn busiest(request_cost: f64, slices: &[SliceLoad]) -> Vec<SliceLoad> {
    let worth = slices.iter().copied().filter(|slice| slice.rate * request_cost >= MIN_LOAD);
    let mut busiest: Vec<_> = worth.collect();
    busiest.sort_by(|a, b| b.rate.total_cmp(&a.rate).then(Reverse(a.slice).cmp(&Reverse(b.slice))));
    busiest
}
