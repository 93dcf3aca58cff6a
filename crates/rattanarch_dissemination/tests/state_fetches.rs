//! From whom newer state is fetched, and how many fetches there are at a time.

use std::net::SocketAddr;
use std::time::Duration;

use rattanarch_dissemination::FETCH_IDLE_TIMEOUT;
use rattanarch_dissemination::Fetch;
use rattanarch_dissemination::FetchScheduler;
use rattanarch_dissemination::LinkPacer;
use rattanarch_dissemination::MissingState;
use rattanarch_dissemination::fetch_timeout;
use rattanarch_types::Version;

/// Bytes of a configuration with 1,400 routes.
const WHOLE: usize = 250_000;

/// The narrowest known link, in megabits a second.
const LINK: f64 = 11.0;

fn peer(index: u16) -> SocketAddr {
    ([10, 0, 0, 1], 8_000 + index).into()
}

/// What a word `(configuration, records)` offers to a daemon that knows `known`.
fn lack(known: Version) -> impl Fn(&(Version, usize)) -> MissingState {
    move |(configuration, records)| MissingState {
        configuration: if *configuration > known { *configuration } else { 0 },
        evacuated: 0,
        records: *records,
    }
}

fn begun(fetches: &mut FetchScheduler<(Version, usize)>, known: Version) -> Vec<Fetch> {
    std::iter::from_fn(|| fetches.next(lack(known))).collect()
}

/// Ten peers tell of a configuration at once: it is fetched once.
#[test]
fn one_configuration() {
    let mut fetches = FetchScheduler::default();
    (0..10).for_each(|index| fetches.announce(peer(index), (8, 0)));
    assert_eq!(begun(&mut fetches, 5).len(), 1);
    (0..10).for_each(|index| fetches.announce(peer(index), (8, 0)));
    assert_eq!(begun(&mut fetches, 5), []);
}

/// The load of the deployment: ten versions 440 ms apart, told by ten peers each, while a fetch takes 700 ms. The
/// daemon never fetches more than one at a time, passes over versions, and has the last within two fetches.
#[test]
fn storm() {
    let (gap, took) = (440, 700);
    let mut fetches = FetchScheduler::default();
    let (mut known, mut newest) = (5, 5);
    let mut end: Option<(u64, Version, SocketAddr)> = None;
    let mut fetched = 0;
    for now in 0..10 * gap + 2 * took {
        if now % gap == 0 && newest < 15 {
            newest += 1;
            (0..10).for_each(|index| fetches.announce(peer(index), (newest, 0)));
        }
        if let Some((_, version, from)) = end.filter(|(at, ..)| *at == now) {
            known = version;
            fetches.end(from, true);
            end = None;
        }
        for fetch in begun(&mut fetches, known) {
            assert!(end.is_none(), "two at a time");
            end = Some((now + took, newest, fetch.peer));
            fetched += 1;
        }
    }
    assert_eq!(known, 15);
    assert!(fetched <= 8, "{fetched} fetches");
}

/// What is newer beside a configuration does not wait behind it, and is asked for without it.
#[test]
fn records_beside() {
    let mut fetches = FetchScheduler::default();
    fetches.announce(peer(0), (8, 0));
    assert_eq!(begun(&mut fetches, 5), [Fetch { peer: peer(0), configuration: true }]);
    fetches.announce(peer(0), (9, 1));
    assert_eq!(begun(&mut fetches, 5), [], "one fetch from a peer");
    fetches.announce(peer(1), (9, 1));
    assert_eq!(begun(&mut fetches, 5), [Fetch { peer: peer(1), configuration: false }]);
    fetches.announce(peer(2), (9, 1));
    assert_eq!(begun(&mut fetches, 5), [], "two at a time");
}

/// The next fetch is from the peer that knows most; words that offer nothing any more are forgotten.
#[test]
fn most_known() {
    let mut fetches = FetchScheduler::default();
    fetches.announce(peer(0), (7, 0));
    assert_eq!(begun(&mut fetches, 5).len(), 1);
    for (index, version) in [(1, 7), (2, 9), (3, 8)] {
        fetches.announce(peer(index), (version, 0));
    }
    fetches.end(peer(0), true);
    assert_eq!(begun(&mut fetches, 7), [Fetch { peer: peer(2), configuration: true }]);
    fetches.end(peer(2), true);
    assert_eq!(begun(&mut fetches, 9), []);
}

/// After a failure another peer is asked, even one that knows less; the same if there is no other.
#[test]
fn after_failure() {
    let mut fetches = FetchScheduler::default();
    fetches.announce(peer(0), (9, 0));
    assert_eq!(begun(&mut fetches, 5).len(), 1);
    fetches.end(peer(0), false);
    fetches.announce(peer(0), (9, 0));
    fetches.announce(peer(1), (8, 0));
    assert_eq!(begun(&mut fetches, 5), [Fetch { peer: peer(1), configuration: true }]);
    fetches.end(peer(1), false);
    assert_eq!(begun(&mut fetches, 5), [Fetch { peer: peer(0), configuration: true }]);
    fetches.end(peer(0), false);
    fetches.announce(peer(0), (9, 0));
    assert_eq!(begun(&mut fetches, 5), [Fetch { peer: peer(0), configuration: true }]);
}

/// A daemon that has just started asks for everything, one peer at a time.
#[test]
fn first_fetch() {
    let mut fetches = FetchScheduler::<(Version, usize)>::default();
    assert_eq!(fetches.begin(peer(0)), Some(Fetch { peer: peer(0), configuration: true }));
    assert_eq!(fetches.begin(peer(1)), None);
    fetches.end(peer(0), true);
    assert!(fetches.begin(peer(1)).is_some());
}

/// Words of ever more peers do not pile up.
#[test]
fn bounded() {
    let mut fetches = FetchScheduler::default();
    (0..10_000).for_each(|index| fetches.announce(peer(index), (8, 0)));
    let mut asked = 0;
    while let Some(fetch) = fetches.next(lack(5)) {
        fetches.end(fetch.peer, false);
        asked += 1;
    }
    assert!(asked <= 32, "{asked} remembered");
}

/// The time of a fetch follows its size and the link: a small one has to end before another peer can still be asked,
/// and a whole configuration may get an eighth of the narrowest link.
#[test]
fn time_by_size() {
    assert_eq!(fetch_timeout(0, LINK), FETCH_IDLE_TIMEOUT);
    assert!(fetch_timeout(2_000, LINK) < Duration::from_millis(850));
    assert!(fetch_timeout(WHOLE as u64, LINK) > Duration::from_millis(2_200));
    assert!(fetch_timeout(WHOLE as u64, 0.0) > fetch_timeout(WHOLE as u64, LINK));
    assert!(fetch_timeout(WHOLE as u64, 200.0) < Duration::from_secs(1));
}

/// Thirty daemons ask for a whole configuration at once: two get it, and two more each 0.4 s; small answers always go.
#[test]
fn outlet() {
    let mut outlet = LinkPacer::default();
    let now = Duration::from_secs(9);
    let sent =
        |outlet: &mut LinkPacer, now| (0..30).filter(|_| outlet.admit(now, WHOLE, LINK)).count();
    assert_eq!(sent(&mut outlet, now), 2);
    assert!(outlet.admit(now, 3_000, LINK));
    assert_eq!(sent(&mut outlet, now + Duration::from_millis(400)), 2);
    assert_eq!(sent(&mut outlet, now + Duration::from_millis(410)), 0);
    assert!((0..30).all(|_| outlet.admit(now, WHOLE, 0.0)), "a link of unknown rate binds nothing");
}

/// An answer that is larger than all that may be under way is sent when nothing else is.
#[test]
fn outlet_large() {
    let mut outlet = LinkPacer::default();
    assert!(outlet.admit(Duration::ZERO, WHOLE * 10, LINK));
    assert!(!outlet.admit(Duration::from_secs(1), WHOLE, LINK));
    assert!(outlet.admit(Duration::from_secs(2), WHOLE * 10, LINK));
}
