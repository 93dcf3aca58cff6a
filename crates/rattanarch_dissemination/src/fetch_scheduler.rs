//! From whom newer state is fetched, and how long that may take.

use std::net::SocketAddr;
use std::time::Duration;

use rattanarch_types::Version;

/// Fetches under way at a time: one that brings a configuration, which may fill the link for a second, and one that
/// does not wait behind it. More share the same link, and none of them ends sooner.
const PLACES: usize = 2;

/// Peers with word of something newer that are remembered: followers repeat theirs three times a second, so one that
/// is forgotten is heard of again.
const MOST_WAITING: usize = 32;

/// Longest time without a byte of a fetch, and of a small one in all: beyond the longest queue of a link on which a
/// machine counts as sound (500 ms), and short enough for a second peer within the bound of a configuration.
pub const FETCH_IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Part of a link that a fetch gets at least beside downloads and requests.
const LEAST_PART: f64 = 0.125;

/// Rate of a link that is not known, in megabits a second: below the narrowest known one (11).
const UNKNOWN_LINK: f64 = 8.0;

/// Longest time of a fetch of `bytes` over a link of `megabits` a second; 0 if its rate is not known.
pub fn fetch_timeout(bytes: u64, megabits: f64) -> Duration {
    let megabits = if megabits > 0.0 { megabits } else { UNKNOWN_LINK };
    FETCH_IDLE_TIMEOUT + Duration::from_secs_f64(bytes as f64 * 8e-6 / (megabits * LEAST_PART))
}

/// What a daemon lacks that a peer has told of; the greater, the more the peer knows.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct MissingState {
    /// The peer's version of the configuration; 0 if it is not newer.
    pub configuration: Version,
    /// Its revision of the data centres that are out; 0 if it is not newer.
    pub evacuated: u64,
    /// Ownership records of which it has a newer version.
    pub records: usize,
}

/// A fetch that is to begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fetch {
    /// Peer that is asked.
    pub peer: SocketAddr,
    /// Whether to ask for a newer configuration; else another fetch brings it, or the peer has none.
    pub configuration: bool,
}

/// Fetches of newer state, and peers that have told of some.
///
/// Answers a storm of configurations on narrow links, of which each daemon hears from many peers within a round trip.
/// A configuration comes over one fetch at a time, and while it is on its way versions in between are passed over:
/// what is fetched next is the newest that any peer has told of. `W` is a peer's word.
#[derive(Debug)]
pub struct FetchScheduler<W> {
    /// At most [`PLACES`], with different peers; at most one of them with a configuration.
    under_way: Vec<Fetch>,
    /// Peers and their latest word, the longest known first.
    waiting: Vec<(SocketAddr, W)>,
    /// The peer whose fetch failed, if no later one has ended well: others are asked first.
    failed: Option<SocketAddr>,
}

impl<W> Default for FetchScheduler<W> {
    fn default() -> Self {
        Self { under_way: Vec::new(), waiting: Vec::new(), failed: None }
    }
}

impl<W> FetchScheduler<W> {
    /// Notes the word of `peer` in place of its earlier one.
    pub fn announce(&mut self, peer: SocketAddr, word: W) {
        self.waiting.retain(|(other, _)| *other != peer);
        if self.waiting.len() == MOST_WAITING {
            self.waiting.remove(0);
        }
        self.waiting.push((peer, word));
    }

    /// The fetch to begin now, if a place is free; `lack` tells what a word offers by now. Words that offer nothing
    /// any more are forgotten.
    pub fn next(&mut self, lack: impl Fn(&W) -> MissingState) -> Option<Fetch> {
        self.waiting.retain(|(_, word)| lack(word) != MissingState::default());
        if self.under_way.len() >= PLACES {
            return None;
        }
        let brings = self.under_way.iter().any(|fetch| fetch.configuration);
        let candidates = self.waiting.iter().enumerate().filter_map(|(index, (peer, word))| {
            let mut lack = lack(word);
            if brings {
                lack.configuration = 0;
            }
            let idle = self.under_way.iter().all(|fetch| fetch.peer != *peer);
            (idle && lack != MissingState::default())
                .then_some(((self.failed != Some(*peer), lack, index), lack))
        });
        let ((_, _, index), lack) = candidates.max_by_key(|(rank, _)| *rank)?;
        let (peer, _) = self.waiting.remove(index);
        let fetch = Fetch { peer, configuration: lack.configuration > 0 };
        self.under_way.push(fetch);
        Some(fetch)
    }

    /// Takes a place for a fetch of everything from `peer`, unless one that brings a configuration is under way or no
    /// place is free.
    pub fn begin(&mut self, peer: SocketAddr) -> Option<Fetch> {
        let taken = |fetch: &Fetch| fetch.configuration || fetch.peer == peer;
        if self.under_way.len() >= PLACES || self.under_way.iter().any(taken) {
            return None;
        }
        let fetch = Fetch { peer, configuration: true };
        self.under_way.push(fetch);
        Some(fetch)
    }

    /// Notes that the fetch from `peer` has ended, with what it was for or not.
    pub fn end(&mut self, peer: SocketAddr, good: bool) {
        self.under_way.retain(|fetch| fetch.peer != peer);
        self.failed = (!good).then_some(peer);
    }
}
