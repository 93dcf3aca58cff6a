//! Which slices a busy member gives away.

use std::cmp::Reverse;

use rattanarch_types::BootId;
use rattanarch_types::SliceId;

/// Part of a member's capacity in use above which it may give slices away. Below it, requests hardly
/// wait for each other, and a slice that moves is not served for about a heartbeat.
const BUSY: f64 = 0.45;

/// How much busier than the mean a member has to be.
const IMBALANCE: f64 = 1.2;

/// Part of a receiver's room that is filled: others may choose it at the same time.
const FILLED_PART: f64 = 0.6;

/// Receivers of one move.
const MAX_RECEIVERS: usize = 3;

/// Slices of one move: each makes a range of its own.
const MAX_SLICES: usize = 16;

/// Least part of a member's capacity that a slice has to use to be worth moving.
const MIN_LOAD: f64 = 0.004;

/// Part of a member's capacity in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLoad {
    /// The member.
    pub member: BootId,
    /// Offered work in parts of what its slots can do; above 1 if it is overloaded.
    pub used: f64,
}

/// Load of one slice, in parts of its owner's capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SliceLoad {
    /// The slice.
    pub slice: SliceId,
    /// Its load.
    pub used: f64,
}

/// Slices that a member in use by `own` should give to others, and to whom.
///
/// Answers the load of few busy keys close to one another, and of one very busy key: its owner keeps
/// it and gives other slices away. A member gives only if it is busy and well above the mean, only
/// what is above the mean, and only to members that stay below the mean with it.
pub fn relieve_slices(
    own: f64,
    slices: &[SliceLoad],
    others: &[MemberLoad],
) -> Vec<(SliceId, BootId)> {
    let total = own + others.iter().map(|other| other.used).sum::<f64>();
    let mean = total / (others.len() + 1) as f64;
    if own < BUSY || own < mean * IMBALANCE {
        return Vec::new();
    }
    let mut receivers: Vec<MemberLoad> = others
        .iter()
        .filter(|other| other.used < mean)
        .map(|other| MemberLoad { used: (mean - other.used) * FILLED_PART, ..*other })
        .collect();
    receivers.sort_by(|a, b| b.used.total_cmp(&a.used).then(a.member.cmp(&b.member)));
    receivers.truncate(MAX_RECEIVERS);
    let mut surplus = own - mean;
    let mut busiest: Vec<SliceLoad> =
        slices.iter().copied().filter(|slice| slice.used >= MIN_LOAD).collect();
    busiest.sort_by_key(|slice| (Reverse((slice.used * 1e6) as u64), slice.slice));
    let mut moves = Vec::new();
    for slice in busiest {
        if moves.len() == MAX_SLICES {
            break;
        }
        let fit = receivers.iter_mut().find(|receiver| receiver.used >= slice.used);
        if let Some(receiver) = fit.filter(|_| slice.used <= surplus) {
            receiver.used -= slice.used;
            surplus -= slice.used;
            moves.push((slice.slice, receiver.member));
        }
    }
    moves
}
