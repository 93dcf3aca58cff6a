//! Bound on the bytes of requests that an upstream holds.

use std::collections::BTreeSet;

use rattanarch_types::Rank;

/// Largest sum of the bodies of requests under way to one upstream, in bytes. An upstream ends if the requests that it
/// holds exceed its memory, which is not known to the daemon.
const MAX_BYTES: usize = 16 << 20;

/// Largest body that never waits, in bytes: the number of such requests is bounded by the upstream's slots.
const SMALL_BYTES: usize = 64 << 10;

/// Bytes of the requests under way to one upstream, and the order of those that wait.
///
/// Designed for bodies of up to 64 MiB, several at once, beside many small ones: a long one waits until it fits, and is
/// always sent if no other long one is under way. Those that wait are admitted by rank, then by arrival; one that doesn't
/// fit yet holds back those behind it, so that shorter ones can't delay it without end. One above the bound could hold back
/// all others for as long as a long one is under way: it holds back those behind it only once none is.
///
/// ```
/// use rattanarch_admission::BytesUnderWay;
///
/// let mut bytes = BytesUnderWay::default();
/// assert!(bytes.try_add(2, 64 << 20));
/// assert!(!bytes.try_add(2, 1 << 20));
/// assert!(bytes.try_add(2, 1 << 10));
/// let deferrable = bytes.wait(2, 1 << 20);
/// let urgent = bytes.wait(0, 1 << 20);
/// bytes.remove(64 << 20);
/// assert!(!bytes.try_admit(deferrable, 1 << 20));
/// assert!(bytes.try_admit(urgent, 1 << 20));
/// assert!(bytes.try_admit(deferrable, 1 << 20));
/// ```
#[derive(Clone, Debug, Default)]
pub struct BytesUnderWay {
    /// Bytes of all requests.
    sum: usize,
    /// Number of requests that are not small.
    long: usize,
    /// Requests that wait and fit beside others, the next one first.
    waiting: BTreeSet<BytesTicket>,
    /// Requests that wait and fit beside no other long one, the next one first.
    waiting_alone: BTreeSet<BytesTicket>,
    /// Number of requests that have waited so far.
    arrivals: u64,
}

/// Place of a request among those that wait for the bytes of others.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BytesTicket {
    rank: Rank,
    arrival: u64,
}

impl BytesUnderWay {
    /// Adds a request of `rank` with a body of `bytes`; returns `false`, and adds nothing, if it has to wait.
    pub fn try_add(&mut self, rank: impl Into<Rank>, bytes: usize) -> bool {
        // The next arrival comes after all that wait.
        let ticket = BytesTicket { rank: rank.into(), arrival: self.arrivals };
        let admitted = bytes <= SMALL_BYTES || !self.is_held_back(ticket) && self.fits(bytes);
        if admitted {
            self.add(bytes);
        }
        admitted
    }

    /// Lets a request of `rank` with a body of `bytes` wait, which [`try_admit`](Self::try_admit) or
    /// [`leave`](Self::leave) ends.
    pub fn wait(&mut self, rank: impl Into<Rank>, bytes: usize) -> BytesTicket {
        let ticket = BytesTicket { rank: rank.into(), arrival: self.arrivals };
        self.arrivals += 1;
        let waiting = if bytes <= MAX_BYTES { &mut self.waiting } else { &mut self.waiting_alone };
        waiting.insert(ticket);
        ticket
    }

    /// Adds the waiting request `ticket` with a body of `bytes`; returns `false` if it has to wait on.
    pub fn try_admit(&mut self, ticket: BytesTicket, bytes: usize) -> bool {
        let is_waiting = self.waiting.contains(&ticket) || self.waiting_alone.contains(&ticket);
        let admitted = is_waiting && !self.is_held_back(ticket) && self.fits(bytes);
        if admitted {
            self.leave(ticket);
            self.add(bytes);
        }
        admitted
    }

    /// Ends the wait of `ticket`. Has no effect once it has been admitted.
    pub fn leave(&mut self, ticket: BytesTicket) {
        self.waiting.remove(&ticket);
        self.waiting_alone.remove(&ticket);
    }

    /// Removes a request that was added with `bytes`.
    pub fn remove(&mut self, bytes: usize) {
        self.sum -= bytes;
        self.long -= usize::from(bytes > SMALL_BYTES);
    }

    /// Bytes of all requests under way.
    pub fn sum(&self) -> usize {
        self.sum
    }

    /// Whether another request that waits is admitted before `ticket`.
    fn is_held_back(&self, ticket: BytesTicket) -> bool {
        let precedes = |first: Option<&BytesTicket>| first.is_some_and(|first| *first < ticket);
        precedes(self.waiting.first()) || self.long == 0 && precedes(self.waiting_alone.first())
    }

    /// Whether a long body of `bytes` may be added to those under way.
    fn fits(&self, bytes: usize) -> bool {
        self.long == 0 || self.sum + bytes <= MAX_BYTES
    }

    fn add(&mut self, bytes: usize) {
        self.sum += bytes;
        self.long += usize::from(bytes > SMALL_BYTES);
    }
}
