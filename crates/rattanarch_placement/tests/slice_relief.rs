//! Slices that a busy member gives away.

use rattanarch_placement::MemberLoad;
use rattanarch_placement::SliceLoad;
use rattanarch_placement::plan_slice_moves;

/// Part of a usual member's capacity that one request a second takes.
const SHARE: f64 = 0.01;

fn member(member: u64, utilization: f64) -> MemberLoad {
    MemberLoad { member, utilization, request_cost: SHARE }
}

fn slices(rates: &[f64]) -> Vec<SliceLoad> {
    rates
        .iter()
        .enumerate()
        .map(|(slice, rate)| SliceLoad { slice: slice as u16, rate: *rate })
        .collect()
}

/// Members in balance, or idle ones, move nothing: each move costs the slice a heartbeat.
#[test]
fn calm_stays() {
    let others = [member(2, 0.5), member(3, 0.6)];
    assert!(plan_slice_moves(member(1, 0.6), &slices(&[20.0, 20.0, 20.0]), &others).is_empty());
    let idle = [member(2, 0.0), member(3, 0.0)];
    assert!(plan_slice_moves(member(1, 0.4), &slices(&[20.0, 20.0]), &idle).is_empty());
}

/// A member with many warm neighbours gives some of them to those with room, and ends near the mean.
#[test]
fn warm_neighbours() {
    let others = [member(2, 0.2), member(3, 0.3), member(4, 0.5)];
    let rates = [10.0; 10];
    let moves = plan_slice_moves(member(1, 1.0), &slices(&rates), &others);
    assert!(!moves.is_empty());
    let given = moves.len() as f64 * 10.0 * SHARE;
    assert!(given <= 0.5, "gives at most what is above the mean: {given}");
    for (other, room) in [(2, 0.3), (3, 0.2)] {
        let taken = moves.iter().filter(|(_, to)| *to == other).count() as f64 * 10.0 * SHARE;
        assert!(taken <= room, "member {other} stays below the mean: {taken}");
    }
    assert!(moves.iter().all(|(_, to)| *to != 4));
}

/// One key hotter than any member's room stays; its neighbours go.
#[test]
fn hot_key_stays() {
    let others = [member(2, 0.3), member(3, 0.3)];
    let moves = plan_slice_moves(member(1, 1.2), &slices(&[100.0, 5.0, 5.0, 5.0, 5.0]), &others);
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|(slice, _)| *slice != 0));
}

/// A slow machine takes less of the same slices.
#[test]
fn slow_receiver() {
    let slow = MemberLoad { request_cost: SHARE * 4.0, ..member(2, 0.3) };
    let rates = [10.0; 10];
    let to_slow = plan_slice_moves(member(1, 1.0), &slices(&rates), &[slow]).len();
    let to_usual = plan_slice_moves(member(1, 1.0), &slices(&rates), &[member(2, 0.3)]).len();
    assert!(to_slow < to_usual, "{to_slow} {to_usual}");
}

/// A hot key that is more than its slow owner can do goes to a member that is much faster, alone; it
/// stays there, and it stays if the others are no faster.
#[test]
fn hot_key_on_slow() {
    let rates = slices(&[100.0, 5.0, 5.0, 5.0, 5.0]);
    let slow = MemberLoad { request_cost: SHARE * 2.5, ..member(1, 3.0) };
    let others = [member(2, 0.7), member(3, 0.4), member(4, 0.5)];
    assert_eq!(plan_slice_moves(slow, &rates, &others), [(0, 3)]);
    let moved = [MemberLoad { utilization: 0.5, ..slow }, member(2, 0.7), member(4, 0.5)];
    let kept = plan_slice_moves(member(3, 1.4), &slices(&[100.0, 2.0, 2.0]), &moved);
    assert!(kept.iter().all(|(slice, _)| *slice != 0), "{kept:?}");
    let equal = others.map(|other| MemberLoad { request_cost: SHARE * 2.5, ..other });
    let kept = plan_slice_moves(slow, &rates, &equal);
    assert!(kept.iter().all(|(slice, _)| *slice != 0), "{kept:?}");
}
