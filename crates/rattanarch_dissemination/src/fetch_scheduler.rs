//! Chooses the peers that newer state is fetched from, and the timeout of a fetch.

use std::net::SocketAddr;
use std::time::Duration;

use rattanarch_types::Version;

/// Maximum number of concurrent fetches: one with a configuration, which may fill the link for a second, and one
/// without, which does not wait behind it. More would share the same link, and none of them would end sooner.
const MAX_FETCHES: usize = 2;

/// Maximum number of peers whose announcements are kept. Followers repeat theirs three times a second, so that one
/// which is evicted is soon heard again.
const MAX_ANNOUNCEMENTS: usize = 32;

/// Longest time without a byte of a fetch, and total timeout of a small fetch: longer than the longest queueing delay
/// of a link on which a machine still counts as healthy (500 ms), and short enough to fetch from a second peer within
/// the time limit of a configuration.
pub const FETCH_IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Ratio of the link's rate that a fetch gets at least beside downloads and requests.
const MIN_LINK_RATIO: f64 = 0.125;

/// Assumed rate of a link whose rate is unknown, in megabits per second: below the slowest known link (11).
const DEFAULT_LINK_MEGABITS: f64 = 8.0;

/// Timeout of a fetch of `bytes` over a link of `megabits_per_s`, or 0 if its rate is unknown.
pub fn fetch_timeout(bytes: u64, megabits_per_s: f64) -> Duration {
    let megabits_per_s = if megabits_per_s > 0.0 { megabits_per_s } else { DEFAULT_LINK_MEGABITS };
    FETCH_IDLE_TIMEOUT
        + Duration::from_secs_f64(bytes as f64 * 8e-6 / (megabits_per_s * MIN_LINK_RATIO))
}

/// State that a peer has announced and this daemon lacks. Ordered: the greater, the more is missing.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct MissingState {
    /// The peer's configuration version; 0 if it is not newer.
    pub configuration: Version,
    /// The peer's revision of the set of evacuated data centres; 0 if it is not newer.
    pub evacuated: u64,
    /// Number of ownership records of which the peer has a newer version.
    pub records: usize,
}

/// A fetch that is to be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fetch {
    /// Peer to fetch from.
    pub peer: SocketAddr,
    /// Whether to fetch the configuration too; false if another fetch does, or if the peer has no newer one.
    pub configuration: bool,
}

/// Fetches in progress, and peers that have announced newer state.
///
/// Built for bursts of configuration versions on slow links, where each daemon hears of every version from many peers
/// within a round trip. Only one fetch at a time transfers a configuration. Versions announced during a fetch are
/// skipped: the next fetch asks for the newest one that any peer has announced. `A` is a peer's announcement.
#[derive(Debug)]
pub struct FetchScheduler<A> {
    /// At most [`MAX_FETCHES`], from different peers; at most one of them with a configuration.
    in_progress: Vec<Fetch>,
    /// Latest announcement of each peer, the oldest first.
    announcements: Vec<(SocketAddr, A)>,
    /// Peer of the last fetch if it failed; others are preferred to it.
    failed: Option<SocketAddr>,
}

impl<A> Default for FetchScheduler<A> {
    fn default() -> Self {
        Self { in_progress: Vec::new(), announcements: Vec::new(), failed: None }
    }
}

impl<A> FetchScheduler<A> {
    /// Adds the announcement of `peer`, in place of its earlier one.
    pub fn announce(&mut self, peer: SocketAddr, announcement: A) {
        self.announcements.retain(|(other, _)| *other != peer);
        if self.announcements.len() == MAX_ANNOUNCEMENTS {
            self.announcements.remove(0);
        }
        self.announcements.push((peer, announcement));
    }

    /// Starts the next fetch, unless too many are in progress. `missing` returns what this daemon currently lacks of an
    /// announcement; announcements of which it lacks nothing are dropped.
    pub fn next(&mut self, missing: impl Fn(&A) -> MissingState) -> Option<Fetch> {
        self.announcements
            .retain(|(_, announcement)| missing(announcement) != MissingState::default());
        if self.in_progress.len() >= MAX_FETCHES {
            return None;
        }
        let has_configuration = self.in_progress.iter().any(|fetch| fetch.configuration);
        let candidates =
            self.announcements.iter().enumerate().filter_map(|(index, (peer, announcement))| {
                let mut missing = missing(announcement);
                if has_configuration {
                    missing.configuration = 0;
                }
                let idle = self.in_progress.iter().all(|fetch| fetch.peer != *peer);
                (idle && missing != MissingState::default())
                    .then_some(((self.failed != Some(*peer), missing, index), missing))
            });
        let ((_, _, index), missing) = candidates.max_by_key(|(rank, _)| *rank)?;
        let (peer, _) = self.announcements.remove(index);
        let fetch = Fetch { peer, configuration: missing.configuration > 0 };
        self.in_progress.push(fetch);
        Some(fetch)
    }

    /// Starts a fetch of the whole state from `peer`; `None` if a fetch of a configuration or from this peer is in
    /// progress, or too many are.
    pub fn begin(&mut self, peer: SocketAddr) -> Option<Fetch> {
        let conflicts = |fetch: &Fetch| fetch.configuration || fetch.peer == peer;
        if self.in_progress.len() >= MAX_FETCHES || self.in_progress.iter().any(conflicts) {
            return None;
        }
        let fetch = Fetch { peer, configuration: true };
        self.in_progress.push(fetch);
        Some(fetch)
    }

    /// Ends the fetch from `peer`; `succeeded` tells whether it brought what it was for.
    pub fn end(&mut self, peer: SocketAddr, succeeded: bool) {
        self.in_progress.retain(|fetch| fetch.peer != peer);
        self.failed = (!succeeded).then_some(peer);
    }
}
