//! Slices that a busy member gives to others.

use std::time::Duration;

use rattanarch_placement::LastingLoad;
use rattanarch_placement::MemberLoad;
use rattanarch_placement::MovePlan;
use rattanarch_placement::SliceLoad;
use rattanarch_types::BootId;
use rattanarch_types::SliceId;

/// Part of a regular member's capacity that one request per second takes.
const REQUEST_COST: f64 = 0.01;

fn member(member: u64, utilization: f64) -> MemberLoad {
    MemberLoad { member, utilization, request_cost: REQUEST_COST, slots: 12, gap: GAP }
}

/// Time during which a moved slice is not served.
const GAP: Duration = Duration::from_millis(600);

/// Plan of a member whose load has lasted for `seconds`.
fn plan_after(
    seconds: u64,
    own: MemberLoad,
    slices: &[SliceLoad],
    others: &[MemberLoad],
) -> MovePlan {
    let lasting = LastingLoad { span: Duration::from_secs(seconds), utilization: own.utilization };
    rattanarch_placement::plan_slice_moves(own, &[lasting], slices, others)
}

/// Moves of a member with a lasting load.
fn plan_slice_moves(
    own: MemberLoad,
    slices: &[SliceLoad],
    others: &[MemberLoad],
) -> Vec<(SliceId, BootId)> {
    plan_after(24, own, slices, others).moves
}

fn slices(rates: &[f64]) -> Vec<SliceLoad> {
    rates
        .iter()
        .enumerate()
        .map(|(slice, rate)| SliceLoad { slice: slice as u16, rate: *rate, steady_rate: *rate })
        .collect()
}

/// Balanced or lightly loaded members move nothing: a slice that moves is not served for about a heartbeat.
#[test]
fn no_needless_moves() {
    let others = [member(2, 0.5), member(3, 0.6)];
    assert!(plan_slice_moves(member(1, 0.6), &slices(&[20.0, 20.0, 20.0]), &others).is_empty());
    let idle = [member(2, 0.0), member(3, 0.0)];
    assert!(plan_slice_moves(member(1, 0.4), &slices(&[20.0, 20.0]), &idle).is_empty());
}

/// A member with many equally busy slices gives some to members with spare capacity, without falling below the mean.
#[test]
fn equally_busy_slices() {
    let others = [member(2, 0.2), member(3, 0.3), member(4, 0.5)];
    let rates = [10.0; 10];
    let moves = plan_slice_moves(member(1, 1.0), &slices(&rates), &others);
    assert!(!moves.is_empty());
    let given = moves.len() as f64 * 10.0 * REQUEST_COST;
    assert!(given <= 0.5, "gives at most what is above the mean: {given}");
    for (other, spare) in [(2, 0.3), (3, 0.2)] {
        let taken =
            moves.iter().filter(|(_, to)| *to == other).count() as f64 * 10.0 * REQUEST_COST;
        assert!(taken <= spare, "member {other} stays below the mean: {taken}");
    }
    assert!(moves.iter().all(|(_, to)| *to != 4));
}

/// A slice with more load than any member's spare capacity is not moved; other slices are.
#[test]
fn hot_slice_stays() {
    let others = [member(2, 0.3), member(3, 0.3)];
    let moves = plan_slice_moves(member(1, 1.2), &slices(&[100.0, 5.0, 5.0, 5.0, 5.0]), &others);
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|(slice, _)| *slice != 0));
}

/// A slower machine takes fewer of the same slices.
#[test]
fn slow_receiver() {
    let slow = MemberLoad { request_cost: REQUEST_COST * 4.0, ..member(2, 0.3) };
    let rates = [10.0; 10];
    let to_slow = plan_slice_moves(member(1, 1.0), &slices(&rates), &[slow]).len();
    let to_regular = plan_slice_moves(member(1, 1.0), &slices(&rates), &[member(2, 0.3)]).len();
    assert!(to_slow < to_regular, "{to_slow} {to_regular}");
}

/// A slice whose load overloads its slow owner moves alone to a much faster member and stays there. It does not move if
/// the other members are no faster.
#[test]
fn hot_slice_on_slow_member() {
    let rates = slices(&[100.0, 5.0, 5.0, 5.0, 5.0]);
    let slow = MemberLoad { request_cost: REQUEST_COST * 2.5, ..member(1, 3.0) };
    // Slice 0 alone takes 2.5 times the capacity of the owner, and the whole capacity of a regular member.
    let others = [member(2, 0.7), member(3, 0.4), member(4, 0.5)];
    assert_eq!(plan_slice_moves(slow, &rates, &others), [(0, 3)]);
    // The new owner keeps it.
    let loads_after_move =
        [MemberLoad { utilization: 0.5, ..slow }, member(2, 0.7), member(4, 0.5)];
    let moves = plan_slice_moves(member(3, 1.4), &slices(&[100.0, 2.0, 2.0]), &loads_after_move);
    assert!(moves.iter().all(|(slice, _)| *slice != 0), "{moves:?}");
    // The old owner keeps it if the others are as slow.
    let equal = others.map(|other| MemberLoad { request_cost: REQUEST_COST * 2.5, ..other });
    let moves = plan_slice_moves(slow, &rates, &equal);
    assert!(moves.iter().all(|(slice, _)| *slice != 0), "{moves:?}");
}

/// A surge that has just begun moves nothing that it does not pay for soon: the member may be idle again before the moved
/// slices are served.
#[test]
fn short_surge() {
    let rates = slices(&[10.0; 10]);
    let others = [member(2, 0.2), member(3, 0.3)];
    let moves_after = |seconds| plan_after(seconds, member(1, 0.9), &rates, &others).moves.len();
    assert_eq!(moves_after(1), 0);
    assert!(moves_after(24) > 0);
}

/// A slice that was busy only briefly does not move because of the member's lasting load: it would not relieve it.
#[test]
fn briefly_busy_slices() {
    let mut rates = slices(&[20.0, 20.0, 10.0, 10.0, 10.0, 10.0, 10.0]);
    rates[0].steady_rate = 0.5;
    let moves = plan_slice_moves(member(1, 0.9), &rates, &[member(2, 0.2), member(3, 0.2)]);
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|(slice, _)| *slice != 0), "{moves:?}");
}

/// Of receivers that are alike, the one whose upstream's heartbeat comes first after the release gets the slices: every
/// other one would serve them later.
#[test]
fn shortest_gap() {
    let soon = MemberLoad { gap: Duration::from_millis(250), ..member(9, 0.2) };
    let others = [member(2, 0.2), member(3, 0.2), soon, member(10, 0.2)];
    let moves = plan_slice_moves(member(1, 0.8), &slices(&[10.0; 8]), &others);
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|(_, to)| *to == 9), "{moves:?}");
}

/// The expected gain of a plan is a multiple of its cost; moves without that are counted as skipped.
#[test]
fn gain_exceeds_cost() {
    let others = [member(2, 0.2), member(3, 0.3)];
    let plan = plan_after(24, member(1, 1.1), &slices(&[10.0; 11]), &others);
    assert!(!plan.moves.is_empty() && plan.gain >= plan.cost * 1.5, "{plan:?}");
    let plan = plan_after(6, member(1, 0.75), &slices(&[10.0; 7]), &others);
    assert!(plan.moves.is_empty() && plan.skipped > 0, "{plan:?}");
}
