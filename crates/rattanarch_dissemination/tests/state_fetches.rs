//! Choice of the peers that state is fetched from, concurrent fetches, and pacing of responses.

use std::net::SocketAddr;
use std::time::Duration;

use rattanarch_dissemination::FETCH_IDLE_TIMEOUT;
use rattanarch_dissemination::Fetch;
use rattanarch_dissemination::FetchScheduler;
use rattanarch_dissemination::LinkPacer;
use rattanarch_dissemination::MissingState;
use rattanarch_dissemination::fetch_timeout;
use rattanarch_types::Version;

/// Size in bytes of a configuration with 1,400 routes.
const CONFIGURATION_BYTES: usize = 250_000;

/// Rate of the slowest known link, in megabits per second.
const LINK_MEGABITS: f64 = 11.0;

fn peer(index: u16) -> SocketAddr {
    ([10, 0, 0, 1], 8_000 + index).into()
}

/// What a daemon with configuration version `known` lacks of an announcement `(configuration, records)`.
fn missing(known: Version) -> impl Fn(&(Version, usize)) -> MissingState {
    move |(configuration, records)| MissingState {
        configuration: if *configuration > known { *configuration } else { 0 },
        evacuated: 0,
        records: *records,
    }
}

fn begin_all(fetches: &mut FetchScheduler<(Version, usize)>, known: Version) -> Vec<Fetch> {
    std::iter::from_fn(|| fetches.next(missing(known))).collect()
}

/// A configuration that ten peers announce at once is fetched once.
#[test]
fn one_configuration() {
    let mut fetches = FetchScheduler::default();
    (0..10).for_each(|index| fetches.announce(peer(index), (8, 0)));
    assert_eq!(begin_all(&mut fetches, 5).len(), 1);
    (0..10).for_each(|index| fetches.announce(peer(index), (8, 0)));
    assert_eq!(begin_all(&mut fetches, 5), []);
}

/// Load of the deployment: ten versions 440 ms apart, each announced by ten peers, while a fetch takes 700 ms. The
/// daemon never fetches two at a time, skips versions, and has the last one within two fetches.
#[test]
fn burst() {
    let (interval, fetch_time) = (440, 700);
    let mut fetches = FetchScheduler::default();
    let (mut known, mut newest) = (5, 5);
    let mut end: Option<(u64, Version, SocketAddr)> = None;
    let mut fetched = 0;
    for now in 0..10 * interval + 2 * fetch_time {
        if now % interval == 0 && newest < 15 {
            newest += 1;
            (0..10).for_each(|index| fetches.announce(peer(index), (newest, 0)));
        }
        if let Some((_, version, from)) = end.filter(|(at, ..)| *at == now) {
            known = version;
            fetches.end(from, true);
            end = None;
        }
        for fetch in begin_all(&mut fetches, known) {
            assert!(end.is_none(), "two fetches of a configuration at a time");
            end = Some((now + fetch_time, newest, fetch.peer));
            fetched += 1;
        }
    }
    assert_eq!(known, 15);
    assert!(fetched <= 8, "{fetched} fetches");
}

/// Other newer state does not wait for a configuration that is being fetched, and is fetched without it.
#[test]
fn records_beside() {
    let mut fetches = FetchScheduler::default();
    fetches.announce(peer(0), (8, 0));
    assert_eq!(begin_all(&mut fetches, 5), [Fetch { peer: peer(0), configuration: true }]);
    fetches.announce(peer(0), (9, 1));
    assert_eq!(begin_all(&mut fetches, 5), [], "one fetch per peer");
    fetches.announce(peer(1), (9, 1));
    assert_eq!(begin_all(&mut fetches, 5), [Fetch { peer: peer(1), configuration: false }]);
    fetches.announce(peer(2), (9, 1));
    assert_eq!(begin_all(&mut fetches, 5), [], "two fetches at a time");
}

/// The next fetch is from the peer with the newest state; announcements of which nothing is missing are dropped.
#[test]
fn newest_first() {
    let mut fetches = FetchScheduler::default();
    fetches.announce(peer(0), (7, 0));
    assert_eq!(begin_all(&mut fetches, 5).len(), 1);
    for (index, version) in [(1, 7), (2, 9), (3, 8)] {
        fetches.announce(peer(index), (version, 0));
    }
    fetches.end(peer(0), true);
    assert_eq!(begin_all(&mut fetches, 7), [Fetch { peer: peer(2), configuration: true }]);
    fetches.end(peer(2), true);
    assert_eq!(begin_all(&mut fetches, 9), []);
}

/// After a failed fetch another peer is asked, even one with older state; the same peer only if there is no other.
#[test]
fn after_failure() {
    let mut fetches = FetchScheduler::default();
    fetches.announce(peer(0), (9, 0));
    assert_eq!(begin_all(&mut fetches, 5).len(), 1);
    fetches.end(peer(0), false);
    fetches.announce(peer(0), (9, 0));
    fetches.announce(peer(1), (8, 0));
    assert_eq!(begin_all(&mut fetches, 5), [Fetch { peer: peer(1), configuration: true }]);
    fetches.end(peer(1), false);
    assert_eq!(begin_all(&mut fetches, 5), [Fetch { peer: peer(0), configuration: true }]);
    fetches.end(peer(0), false);
    fetches.announce(peer(0), (9, 0));
    assert_eq!(begin_all(&mut fetches, 5), [Fetch { peer: peer(0), configuration: true }]);
}

/// A daemon that has just started fetches the whole state, from one peer at a time.
#[test]
fn first_fetch() {
    let mut fetches = FetchScheduler::<(Version, usize)>::default();
    assert_eq!(fetches.begin(peer(0)), Some(Fetch { peer: peer(0), configuration: true }));
    assert_eq!(fetches.begin(peer(1)), None);
    fetches.end(peer(0), true);
    assert!(fetches.begin(peer(1)).is_some());
}

/// The number of announcements kept is bounded.
#[test]
fn bounded() {
    let mut fetches = FetchScheduler::default();
    (0..10_000).for_each(|index| fetches.announce(peer(index), (8, 0)));
    let mut asked = 0;
    while let Some(fetch) = fetches.next(missing(5)) {
        fetches.end(fetch.peer, false);
        asked += 1;
    }
    assert!(asked <= 32, "{asked} kept");
}

/// The timeout of a fetch depends on its size and on the link: a small fetch has to end early enough to ask another
/// peer, and a whole configuration may get only an eighth of the slowest link.
#[test]
fn timeout_by_size() {
    assert_eq!(fetch_timeout(0, LINK_MEGABITS), FETCH_IDLE_TIMEOUT);
    assert!(fetch_timeout(2_000, LINK_MEGABITS) < Duration::from_millis(850));
    assert!(
        fetch_timeout(CONFIGURATION_BYTES as u64, LINK_MEGABITS) > Duration::from_millis(2_200)
    );
    assert!(
        fetch_timeout(CONFIGURATION_BYTES as u64, 0.0)
            > fetch_timeout(CONFIGURATION_BYTES as u64, LINK_MEGABITS)
    );
    assert!(fetch_timeout(CONFIGURATION_BYTES as u64, 200.0) < Duration::from_secs(1));
}

/// Thirty daemons request a whole configuration at once: two get it, and two more every 0.4 s; small responses are
/// never deferred.
#[test]
fn response_pacing() {
    let mut pacer = LinkPacer::default();
    let now = Duration::from_secs(9);
    let sent = |pacer: &mut LinkPacer, now| {
        (0..30).filter(|_| pacer.admit(now, CONFIGURATION_BYTES, LINK_MEGABITS)).count()
    };
    assert_eq!(sent(&mut pacer, now), 2);
    assert!(pacer.admit(now, 3_000, LINK_MEGABITS));
    assert_eq!(sent(&mut pacer, now + Duration::from_millis(400)), 2);
    assert_eq!(sent(&mut pacer, now + Duration::from_millis(410)), 0);
    assert!(
        (0..30).all(|_| pacer.admit(now, CONFIGURATION_BYTES, 0.0)),
        "a link of unknown rate defers nothing"
    );
}

/// A response larger than the allowed backlog is sent when the link is idle.
#[test]
fn oversized_response() {
    let mut pacer = LinkPacer::default();
    assert!(pacer.admit(Duration::ZERO, CONFIGURATION_BYTES * 10, LINK_MEGABITS));
    assert!(!pacer.admit(Duration::from_secs(1), CONFIGURATION_BYTES, LINK_MEGABITS));
    assert!(pacer.admit(Duration::from_secs(2), CONFIGURATION_BYTES * 10, LINK_MEGABITS));
}
