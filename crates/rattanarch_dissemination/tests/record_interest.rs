//! When records are fetched from peers.

use std::time::Duration;

use rattanarch_dissemination::RecordFetchPolicy;

/// Time after which callers of a key without an owner come back at the earliest.
const LEAST_PAUSE: Duration = Duration::from_millis(375);

/// Members that join one after the other make a record each; a daemon that needs none of them fetches few.
#[test]
fn changes_gathered() {
    let mut interest = RecordFetchPolicy::default();
    let news = (0..100).map(|step| Duration::from_millis(100 * step));
    let fetches = news.filter(|now| interest.should_fetch(*now, false)).count();
    assert!(fetches <= 4, "{fetches} in 10 s");
}

/// A request that finds no owner has the next news fetched, however short the last fetch is past.
#[test]
fn wanted_at_once() {
    let mut interest = RecordFetchPolicy::default();
    let start = Duration::from_secs(5);
    assert!(interest.should_fetch(start, false));
    let later = start + Duration::from_millis(50);
    assert!(!interest.should_fetch(later, false));
    assert!(interest.owner_missing(later), "peers are asked");
    assert!(interest.should_fetch(later, false), "what they tell is fetched");
    assert!(!interest.should_fetch(later, false), "once");
}

/// Many requests without an owner ask seldom, yet before their callers come back.
#[test]
fn asked_seldom() {
    let mut interest = RecordFetchPolicy::default();
    let requests = (0..1_000).map(Duration::from_millis);
    let asked: Vec<Duration> = requests.filter(|now| interest.owner_missing(*now)).collect();
    assert!(asked.len() <= 5, "{} times in a second", asked.len());
    assert!(asked.windows(2).all(|pair| pair[1] - pair[0] < LEAST_PAUSE));
}

/// A daemon whose record has slices without an owner fetches every newer one.
#[test]
fn owners_lacking() {
    let mut interest = RecordFetchPolicy::default();
    let news = (0..10).map(|step| Duration::from_millis(100 * step));
    assert!(news.into_iter().all(|now| interest.should_fetch(now, true)));
}

/// Requests wait for the answer to a question, and those that come after its time are refused at once.
#[test]
fn bounded_wait() {
    let mut interest = RecordFetchPolicy::default();
    let start = Duration::from_secs(5);
    assert_eq!(interest.remaining_wait(start), Duration::ZERO);
    assert!(interest.owner_missing(start));
    let later = start + Duration::from_millis(100);
    assert!(!interest.owner_missing(later));
    assert_eq!(interest.remaining_wait(later), Duration::from_millis(50));
    assert_eq!(interest.remaining_wait(start + Duration::from_millis(190)), Duration::ZERO);
}
