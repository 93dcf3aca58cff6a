//! First answers to requests with an idempotency key.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_types::Moment;

/// What is known of a request that came with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Lookup<A> {
    /// Not seen: it may run, and is now remembered as running.
    New,
    /// The first one still runs: its answer is not known yet.
    Running,
    /// The first one's answer.
    Responded(A),
    /// The first one may have run; its answer is not known. It must not run again.
    MayHaveRun,
    /// The key was used for another request.
    Mismatch,
    /// There is no room to remember it, since every entry still runs: it did not run, and must not.
    Full,
}

/// How a request that was remembered as running ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Completion<A> {
    /// With an answer, which repeats get.
    Responded(A),
    /// It certainly did not run: a repeat may.
    NotRun,
    /// It may have run: no repeat may.
    MayHaveRun,
}

/// An entry on its way to the key's next owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IdempotencyEntry<A> {
    /// The idempotency key.
    pub key: String,
    /// Hash of the request that the key was first used for.
    pub fingerprint: u64,
    /// Time since the first use; clocks of different processes are never compared.
    pub age: Duration,
    /// The first answer; `None` if the request may have run without a known answer.
    pub response: Option<A>,
}

#[derive(Clone, Debug)]
enum State<A> {
    Running,
    Responded(A),
    MayHaveRun,
}

#[derive(Clone, Debug)]
struct Entry<A> {
    fingerprint: u64,
    first: Moment,
    state: State<A>,
}

/// Memory of requests by idempotency key, bounded in entries and age.
///
/// Its promise: a repeat of a key that was first used at or after [`IdempotencyCache::complete_since`] and
/// less than the maximum age ago gets the first answer or a true verdict, and does not run again.
/// The promise ends
///
/// - with the age: an older key is forgotten and runs anew;
/// - with the room: when a new key needs the place of the oldest finished one, `since` moves past
///   that one;
/// - with the process: only a planned hand-over ([`IdempotencyCache::export`] by the old owner
///   after its last request ended, [`IdempotencyCache::import`] by the new one before its first)
///   carries entries over. `since` speaks only of keys that this owner had since its start: of a
///   key that came later it knows what was imported, and after a forced takeover nothing;
/// - at the upstream's own edge: that a request with the verdict "may have run" did run, or did
///   not, only the upstream can say.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::{Completion, IdempotencyCache, Lookup};
///
/// let now = Duration::from_secs(1);
/// let mut memory = IdempotencyCache::new(now, 1_000, Duration::from_secs(600));
/// assert_eq!(memory.begin(now, "crate-7", 42), Lookup::New);
/// assert_eq!(memory.begin(now, "crate-7", 42), Lookup::Running);
/// memory.finish("crate-7", Completion::Responded("reserved"));
/// assert_eq!(memory.begin(now, "crate-7", 42), Lookup::Responded("reserved"));
/// assert_eq!(memory.begin(now, "crate-7", 43), Lookup::Mismatch);
/// ```
#[derive(Clone, Debug)]
pub struct IdempotencyCache<A> {
    entries: HashMap<String, Entry<A>>,
    /// Keys of `entries` by first use, the oldest first, with the time of that use.
    order: VecDeque<(Moment, String)>,
    max_entries: usize,
    max_age: Duration,
    since: Moment,
}

impl<A: Clone> IdempotencyCache<A> {
    /// An empty memory of a process that starts to own keys at `now`.
    pub fn new(now: Moment, max_entries: usize, max_age: Duration) -> Self {
        let order = VecDeque::new();
        Self { entries: HashMap::new(), order, max_entries, max_age, since: now }
    }

    /// Keys first used before this moment may have been forgotten, or never known.
    pub fn complete_since(&self) -> Moment {
        self.since
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Looks `key` up for a request whose hash is `fingerprint`, and remembers a new one as running.
    pub fn begin(&mut self, now: Moment, key: &str, fingerprint: u64) -> Lookup<A> {
        self.expire(now);
        if let Some(entry) = self.entries.get(key) {
            return entry.seen(fingerprint);
        }
        if self.entries.len() >= self.max_entries && !self.evict() {
            return Lookup::Full;
        }
        self.insert(key.to_owned(), Entry { fingerprint, first: now, state: State::Running });
        Lookup::New
    }

    /// Notes how the request of `key` ended; once for each [`Lookup::New`].
    pub fn finish(&mut self, key: &str, finish: Completion<A>) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match finish {
            Completion::Responded(answer) => entry.state = State::Responded(answer),
            Completion::MayHaveRun => entry.state = State::MayHaveRun,
            Completion::NotRun => {
                let first = entry.first;
                self.forget(first, key);
                self.unlist(first, key);
            }
        }
    }

    /// Entries whose key `moves` to another owner, taken out; a running one counts as one that may
    /// have run.
    pub fn export(
        &mut self,
        now: Moment,
        moves: impl Fn(&str) -> bool,
    ) -> Vec<IdempotencyEntry<A>> {
        self.expire(now);
        let keys: Vec<_> = self.entries.keys().filter(|key| moves(key)).cloned().collect();
        let mut out = Vec::new();
        for key in keys {
            let Some(entry) = self.entries.remove(&key) else { continue };
            self.unlist(entry.first, &key);
            let age = now.saturating_sub(entry.first);
            out.push(IdempotencyEntry {
                key,
                fingerprint: entry.fingerprint,
                age,
                response: entry.state.answer(),
            });
        }
        out.sort_unstable_by(|a, b| b.age.cmp(&a.age).then_with(|| a.key.cmp(&b.key)));
        out
    }

    /// Takes entries of the former owner. A key that is known already keeps its entry.
    pub fn import(&mut self, now: Moment, entries: Vec<IdempotencyEntry<A>>) {
        for entry in entries {
            if entry.age >= self.max_age || self.entries.contains_key(&entry.key) {
                continue;
            }
            if self.entries.len() >= self.max_entries && !self.evict() {
                self.since = now;
                return;
            }
            let state = entry.response.map_or(State::MayHaveRun, State::Responded);
            let first = now.saturating_sub(entry.age);
            self.insert(entry.key, Entry { fingerprint: entry.fingerprint, first, state });
        }
    }

    fn insert(&mut self, key: String, entry: Entry<A>) {
        let place = self.order.partition_point(|(first, _)| *first <= entry.first);
        self.order.insert(place, (entry.first, key.clone()));
        self.entries.insert(key, entry);
    }

    /// Forgets what is too old. What still runs is kept.
    fn expire(&mut self, now: Moment) {
        let Some(oldest) = now.checked_sub(self.max_age) else { return };
        let mut kept = VecDeque::new();
        while let Some((first, key)) = self.order.pop_front_if(|(first, _)| *first <= oldest) {
            if self.is_running(first, &key) {
                kept.push_back((first, key));
            } else {
                self.forget(first, &key);
            }
        }
        kept.append(&mut self.order);
        self.order = kept;
    }

    /// Forgets the oldest finished entry; false if all run.
    fn evict(&mut self) -> bool {
        let is_finished = |(first, key): &(Moment, String)| !self.is_running(*first, key);
        let Some(place) = self.order.iter().position(is_finished) else { return false };
        let Some((first, key)) = self.order.remove(place) else { return false };
        self.since = self.since.max(first + Duration::from_nanos(1));
        self.forget(first, &key);
        true
    }

    /// Takes `key`, first used at `first`, out of the order.
    fn unlist(&mut self, first: Moment, key: &str) {
        let start = self.order.partition_point(|(other, _)| *other < first);
        let same = self.order.range(start..).take_while(|(other, _)| *other == first);
        if let Some(step) = same.map(|(_, other)| other).position(|other| other == key) {
            self.order.remove(start + step);
        }
    }

    fn is_running(&self, first: Moment, key: &str) -> bool {
        let entry = self.entries.get(key).filter(|entry| entry.first == first);
        entry.is_some_and(|entry| matches!(entry.state, State::Running))
    }

    fn forget(&mut self, first: Moment, key: &str) {
        if self.entries.get(key).is_some_and(|entry| entry.first == first) {
            self.entries.remove(key);
        }
    }
}

impl<A: Clone> Entry<A> {
    fn seen(&self, fingerprint: u64) -> Lookup<A> {
        if self.fingerprint != fingerprint {
            return Lookup::Mismatch;
        }
        match &self.state {
            State::Running => Lookup::Running,
            State::Responded(answer) => Lookup::Responded(answer.clone()),
            State::MayHaveRun => Lookup::MayHaveRun,
        }
    }
}

impl<A> State<A> {
    fn answer(self) -> Option<A> {
        match self {
            Self::Responded(answer) => Some(answer),
            Self::Running | Self::MayHaveRun => None,
        }
    }
}
