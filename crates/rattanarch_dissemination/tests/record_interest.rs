//! When records are fetched from peers.

use std::time::Duration;

use rattanarch_dissemination::RecordFetchPolicy;

/// Minimum delay after which callers retry a key without an owner.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(375);

/// Members that join one after the other cause a new record each; a daemon that none of them affects fetches few.
#[test]
fn bounded_fetches() {
    let mut policy = RecordFetchPolicy::default();
    let announcements = (0..100).map(|step| Duration::from_millis(100 * step));
    let fetches = announcements.filter(|now| policy.should_fetch(*now, false)).count();
    assert!(fetches <= 4, "{fetches} in 10 s");
}

/// After a request has found no owner, the next announced record is fetched, however recent the last fetch is.
#[test]
fn fetch_for_request() {
    let mut policy = RecordFetchPolicy::default();
    let start = Duration::from_secs(5);
    assert!(policy.should_fetch(start, false));
    let later = start + Duration::from_millis(50);
    assert!(!policy.should_fetch(later, false));
    assert!(policy.owner_missing(later), "peers are queried");
    assert!(policy.should_fetch(later, false), "the announced record is fetched");
    assert!(!policy.should_fetch(later, false), "only once");
}

/// Many requests without an owner cause few queries, yet at least one before their callers retry.
#[test]
fn query_rate() {
    let mut policy = RecordFetchPolicy::default();
    let requests = (0..1_000).map(Duration::from_millis);
    let queried: Vec<Duration> = requests.filter(|now| policy.owner_missing(*now)).collect();
    assert!(queried.len() <= 5, "{} times in a second", queried.len());
    assert!(queried.windows(2).all(|pair| pair[1] - pair[0] < MIN_RETRY_DELAY));
}

/// A daemon whose record has slices without an owner fetches every newer record.
#[test]
fn unowned_slices() {
    let mut policy = RecordFetchPolicy::default();
    let announcements = (0..10).map(|step| Duration::from_millis(100 * step));
    assert!(announcements.into_iter().all(|now| policy.should_fetch(now, true)));
}

/// Requests wait for the response to a query only until the query's time has passed; later ones do not wait.
#[test]
fn bounded_wait() {
    let mut policy = RecordFetchPolicy::default();
    let start = Duration::from_secs(5);
    assert_eq!(policy.remaining_wait(start), Duration::ZERO);
    assert!(policy.owner_missing(start));
    let later = start + Duration::from_millis(100);
    assert!(!policy.owner_missing(later));
    assert_eq!(policy.remaining_wait(later), Duration::from_millis(50));
    assert_eq!(policy.remaining_wait(start + Duration::from_millis(190)), Duration::ZERO);
}
