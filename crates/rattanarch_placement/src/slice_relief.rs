//! Choice of the slices that a busy member gives away, by utilization alone.

use rattanarch_types::BootId;
use rattanarch_types::SliceId;

use crate::MemberLoad;
use crate::SliceLoad;
use crate::slice_moves::busiest;

/// Utilization from which a member may give slices away. Below it, requests hardly wait for each other,
/// while a slice that moves is not served for about a heartbeat.
const MIN_UTILIZATION: f64 = 0.5;

/// Ratio of a member's utilization to the mean from which it gives slices away. Without it, members of an overloaded
/// service pass the same slices on to each other, and each move costs its callers a gap.
pub(crate) const MIN_IMBALANCE: f64 = 1.2;

/// Part of a receiver's spare capacity that one move uses: other members may choose it at the same time.
pub(crate) const USED_SPARE_RATIO: f64 = 0.6;

/// Largest number of receivers of one plan.
const MAX_RECEIVERS: usize = 4;

/// Largest number of slices in one plan: each becomes a separate range in the lists of owners.
const MAX_SLICES: usize = 32;

/// Part of a member's load that its hottest slice has to make up to be moved although it exceeds the spare capacity of
/// every other member: giving the other slices away would not help then.
const HOT_SLICE_RATIO: f64 = 0.5;

/// Highest utilization of the receiver of such a slice, in relation to that of its owner: a slice that moves is not
/// served for about a heartbeat, which a small gain is not worth.
const MAX_RECEIVER_RATIO: f64 = 0.6;

/// Slices that the member `own` should give to others, and their receivers.
///
/// Covers the load of a few busy keys close to each other, and that of one very busy key. The owner of a very
/// busy key keeps it and gives other slices away, unless the key overloads it and another member is much
/// faster. A member gives slices away only if it is busy and well above the mean, only as many as bring it down
/// to the mean, and only to members that stay below the mean with them.
pub fn plan_slice_relief(
    own: MemberLoad,
    slices: &[SliceLoad],
    others: &[MemberLoad],
) -> Vec<(SliceId, BootId)> {
    let mean = mean_utilization(own, others);
    if own.utilization < MIN_UTILIZATION || own.utilization < mean * MIN_IMBALANCE {
        return Vec::new();
    }
    if let Some(hot_move) = plan_hot_move(own, slices, others) {
        return vec![hot_move];
    }
    let mut receivers = receivers(mean, others);
    let mut surplus = own.utilization - mean;
    let mut moves = Vec::new();
    for slice in busiest(own.request_cost, slices) {
        let cost = slice.rate * own.request_cost;
        if moves.len() == MAX_SLICES {
            break;
        }
        if cost > surplus {
            continue;
        }
        let fit = receivers
            .iter_mut()
            .find(|receiver| receiver.utilization >= slice.rate * receiver.request_cost);
        if let Some(receiver) = fit {
            receiver.utilization -= slice.rate * receiver.request_cost;
            surplus -= cost;
            moves.push((slice.slice, receiver.member));
        }
    }
    moves
}

/// Utilization of every member if the load were spread over all by their capacities.
pub(crate) fn mean_utilization(own: MemberLoad, others: &[MemberLoad]) -> f64 {
    let members = || std::iter::once(&own).chain(others);
    let capacity = |member: &MemberLoad| 1.0 / member.request_cost.max(MIN_REQUEST_COST);
    let load: f64 = members().map(|member| member.utilization * capacity(member)).sum();
    load / members().map(capacity).sum::<f64>()
}

/// Lower bound of a cost, for a member whose requests have taken no measurable time.
const MIN_REQUEST_COST: f64 = 1e-6;

/// The slice that overloads its owner by itself, and the member that can serve it much faster.
pub(crate) fn plan_hot_move(
    own: MemberLoad,
    slices: &[SliceLoad],
    others: &[MemberLoad],
) -> Option<(SliceId, BootId)> {
    let slice = slices.iter().max_by(|a, b| a.rate.total_cmp(&b.rate))?;
    if own.utilization < 1.0 || slice.rate * own.request_cost < own.utilization * HOT_SLICE_RATIO {
        return None;
    }
    let with_slice = |other: &MemberLoad| other.utilization + slice.rate * other.request_cost;
    let best = others.iter().min_by(|a, b| with_slice(a).total_cmp(&with_slice(b)))?;
    (with_slice(best) <= own.utilization * MAX_RECEIVER_RATIO).then_some((slice.slice, best.member))
}

/// Members below `mean`, those with the most spare capacity first. Their `utilization` holds the spare capacity that
/// may be used.
fn receivers(mean: f64, others: &[MemberLoad]) -> Vec<MemberLoad> {
    let below = others.iter().filter(|other| other.utilization < mean);
    let spare = |other: &MemberLoad| (mean - other.utilization) * USED_SPARE_RATIO;
    let mut receivers: Vec<_> =
        below.map(|other| MemberLoad { utilization: spare(other), ..*other }).collect();
    receivers.sort_by(|a, b| b.utilization.total_cmp(&a.utilization).then(a.member.cmp(&b.member)));
    receivers.truncate(MAX_RECEIVERS);
    receivers
}
