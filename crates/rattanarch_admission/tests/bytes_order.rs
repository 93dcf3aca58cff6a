//! Order of long bodies that wait for those under way to the upstream.

use rattanarch_admission::BytesUnderWay;
use rattanarch_types::Priority;

const MEBIBYTE: usize = 1 << 20;

/// Guards against priority inversion: an urgent body that waits behind less urgent ones which came before.
#[test]
fn by_rank_then_arrival() {
    let mut bytes = BytesUnderWay::default();
    assert!(bytes.try_add(Priority::Normal, 16 * MEBIBYTE));
    let deferrable = bytes.wait(Priority::Deferrable, MEBIBYTE);
    let first = bytes.wait(Priority::Urgent, MEBIBYTE);
    let second = bytes.wait(Priority::Urgent, MEBIBYTE);
    bytes.remove(16 * MEBIBYTE);
    assert!(!bytes.try_admit(deferrable, MEBIBYTE));
    assert!(!bytes.try_admit(second, MEBIBYTE));
    assert!(bytes.try_admit(first, MEBIBYTE));
    assert!(bytes.try_admit(second, MEBIBYTE));
    assert!(bytes.try_admit(deferrable, MEBIBYTE));
}

/// Guards against a new body that overtakes a waiting one of its rank, and against one of a higher rank that is held back.
#[test]
fn arrival_beside_waiting() {
    let mut bytes = BytesUnderWay::default();
    assert!(bytes.try_add(Priority::Normal, 10 * MEBIBYTE));
    assert!(!bytes.try_add(Priority::Normal, 10 * MEBIBYTE));
    let waiting = bytes.wait(Priority::Normal, 10 * MEBIBYTE);
    assert!(!bytes.try_add(Priority::Normal, MEBIBYTE));
    assert!(!bytes.try_add(Priority::Deferrable, MEBIBYTE));
    assert!(bytes.try_add(Priority::Urgent, MEBIBYTE));
    assert!(!bytes.try_admit(waiting, 10 * MEBIBYTE));
    bytes.remove(10 * MEBIBYTE);
    assert!(bytes.try_admit(waiting, 10 * MEBIBYTE));
}

/// Guards against small bodies that wait: their number is bounded by the slots.
#[test]
fn small_never_waits() {
    let mut bytes = BytesUnderWay::default();
    assert!(bytes.try_add(Priority::Normal, 64 * MEBIBYTE));
    bytes.wait(Priority::Urgent, MEBIBYTE);
    assert!(bytes.try_add(Priority::Deferrable, 64 << 10));
}

/// Guards against a request that holds back others after it has given up, or after it has been admitted.
#[test]
fn left_or_admitted() {
    let mut bytes = BytesUnderWay::default();
    assert!(bytes.try_add(Priority::Normal, 16 * MEBIBYTE));
    let left = bytes.wait(Priority::Urgent, MEBIBYTE);
    let next = bytes.wait(Priority::Normal, 16 * MEBIBYTE);
    bytes.leave(left);
    bytes.remove(16 * MEBIBYTE);
    assert!(bytes.try_admit(next, 16 * MEBIBYTE));
    bytes.leave(next);
    assert_eq!(bytes.sum(), 16 * MEBIBYTE);
    bytes.remove(16 * MEBIBYTE);
    assert!(bytes.try_add(Priority::Deferrable, 16 * MEBIBYTE));
}

/// Guards against a body above the bound that never fits.
#[test]
fn longest_alone() {
    let mut bytes = BytesUnderWay::default();
    assert!(bytes.try_add(Priority::Normal, MEBIBYTE));
    assert!(!bytes.try_add(Priority::Normal, 64 * MEBIBYTE));
    let waiting = bytes.wait(Priority::Normal, 64 * MEBIBYTE);
    bytes.remove(MEBIBYTE);
    assert!(bytes.try_admit(waiting, 64 * MEBIBYTE));
}

/// Guards against a body above the bound that holds back bodies which fit beside those under way, and against one that they
/// delay once no long body is under way.
#[test]
fn longest_holds_back_none() {
    let mut bytes = BytesUnderWay::default();
    assert!(bytes.try_add(Priority::Normal, 12 * MEBIBYTE));
    let longest = bytes.wait(Priority::Normal, 64 * MEBIBYTE);
    let second_longest = bytes.wait(Priority::Normal, 64 * MEBIBYTE);
    let shorter = bytes.wait(Priority::Normal, MEBIBYTE);
    assert!(bytes.try_admit(shorter, MEBIBYTE));
    assert!(bytes.try_add(Priority::Deferrable, MEBIBYTE));
    let shorter = bytes.wait(Priority::Normal, 14 * MEBIBYTE);
    bytes.remove(12 * MEBIBYTE);
    bytes.remove(MEBIBYTE);
    assert!(!bytes.try_admit(longest, 64 * MEBIBYTE));
    bytes.remove(MEBIBYTE);
    assert!(!bytes.try_add(Priority::Normal, MEBIBYTE));
    assert!(!bytes.try_admit(shorter, 14 * MEBIBYTE));
    assert!(!bytes.try_admit(second_longest, 64 * MEBIBYTE));
    assert!(bytes.try_admit(longest, 64 * MEBIBYTE));
    bytes.remove(64 * MEBIBYTE);
    assert!(bytes.try_admit(second_longest, 64 * MEBIBYTE));
    bytes.remove(64 * MEBIBYTE);
    assert!(bytes.try_admit(shorter, 14 * MEBIBYTE));
}
