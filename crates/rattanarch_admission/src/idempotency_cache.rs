//! Responses to requests with an idempotency key, kept for repeats.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_types::Moment;

/// Result of looking an idempotency key up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Lookup<R> {
    /// The key is new. The request may run, and is now stored as running.
    New,
    /// The first request still runs; its response is not known yet.
    Running,
    /// The response to the first request.
    Responded(R),
    /// The first request may have run, without a known response. The repeat must not run.
    MayHaveRun,
    /// The key was first used for a different request.
    Mismatch,
    /// The cache is full of running requests. The request has not run, and must not.
    Full,
}

/// How the first request of a key ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Completion<R> {
    /// With a response, which repeats get as well.
    Responded(R),
    /// It certainly did not run: a repeat may run.
    NotRun,
    /// It may have run: no repeat may run.
    MayHaveRun,
}

/// An entry that is transferred to the new owner of its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IdempotencyEntry<R> {
    /// The idempotency key.
    pub key: String,
    /// Hash of the first request with the key.
    pub fingerprint: u64,
    /// Time since the first use. An age, because clocks of different processes are never compared.
    pub age: Duration,
    /// The response; `None` if the request may have run without a known response.
    pub response: Option<R>,
}

#[derive(Clone, Debug)]
enum State<R> {
    Running,
    Responded(R),
    MayHaveRun,
}

#[derive(Clone, Debug)]
struct Entry<R> {
    fingerprint: u64,
    first_use: Moment,
    state: State<R>,
}

/// Cache of requests by idempotency key, limited in entries and age.
///
/// Guarantee: a repeat of a key that was first used at or after [`IdempotencyCache::complete_since`], and less
/// than the maximum age ago, gets the first response or a correct verdict, and does not run again.
///
/// The guarantee has these limits:
///
/// - Age: an older key is evicted, and a repeat runs again.
/// - Capacity: when a new key evicts the oldest finished entry, `complete_since` moves past that entry.
/// - Process: entries are lost with the process. Only a planned handover transfers them
///   ([`IdempotencyCache::export`] by the old owner after its last request has ended,
///   [`IdempotencyCache::import`] by the new owner before its first). `complete_since` covers only keys that
///   this owner has had since its start. Of a key that it got later it knows the imported entries, and
///   after a forced takeover nothing.
/// - Upstream: whether a request with the verdict "may have run" did run, only the upstream can tell.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::{Completion, IdempotencyCache, Lookup};
///
/// let now = Duration::from_secs(1);
/// let mut cache = IdempotencyCache::new(now, 1_000, Duration::from_secs(600));
/// assert_eq!(cache.begin(now, "crate-7", 42), Lookup::New);
/// assert_eq!(cache.begin(now, "crate-7", 42), Lookup::Running);
/// cache.finish("crate-7", Completion::Responded("reserved"));
/// assert_eq!(cache.begin(now, "crate-7", 42), Lookup::Responded("reserved"));
/// assert_eq!(cache.begin(now, "crate-7", 43), Lookup::Mismatch);
/// ```
#[derive(Clone, Debug)]
pub struct IdempotencyCache<R> {
    entries: HashMap<String, Entry<R>>,
    /// First use and key of each entry, the oldest first.
    by_first_use: VecDeque<(Moment, String)>,
    max_entries: usize,
    max_age: Duration,
    complete_since: Moment,
}

impl<R: Clone> IdempotencyCache<R> {
    /// An empty cache for a process that starts to own keys at `now`.
    pub fn new(now: Moment, max_entries: usize, max_age: Duration) -> Self {
        let by_first_use = VecDeque::new();
        Self { entries: HashMap::new(), by_first_use, max_entries, max_age, complete_since: now }
    }

    /// Keys that were first used before this time may have been evicted, or were never known.
    pub fn complete_since(&self) -> Moment {
        self.complete_since
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Looks `key` up for a request whose hash is `fingerprint`, and stores a new key as running.
    pub fn begin(&mut self, now: Moment, key: &str, fingerprint: u64) -> Lookup<R> {
        self.expire(now);
        if let Some(entry) = self.entries.get(key) {
            return entry.lookup(fingerprint);
        }
        if self.entries.len() >= self.max_entries && !self.evict() {
            return Lookup::Full;
        }
        self.insert(key.to_owned(), Entry { fingerprint, first_use: now, state: State::Running });
        Lookup::New
    }

    /// Stores how the request of `key` ended. To be called once for each [`Lookup::New`].
    pub fn finish(&mut self, key: &str, completion: Completion<R>) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match completion {
            Completion::Responded(response) => entry.state = State::Responded(response),
            Completion::MayHaveRun => entry.state = State::MayHaveRun,
            Completion::NotRun => {
                let first_use = entry.first_use;
                self.remove_entry(first_use, key);
                self.remove_from_order(first_use, key);
            }
        }
    }

    /// Removes and returns the entries whose key `moves` to another owner. A running request counts as one that
    /// may have run.
    pub fn export(
        &mut self,
        now: Moment,
        moves: impl Fn(&str) -> bool,
    ) -> Vec<IdempotencyEntry<R>> {
        self.expire(now);
        let keys: Vec<_> = self.entries.keys().filter(|key| moves(key)).cloned().collect();
        let mut exported = Vec::new();
        for key in keys {
            let Some(entry) = self.entries.remove(&key) else { continue };
            self.remove_from_order(entry.first_use, &key);
            let age = now.saturating_sub(entry.first_use);
            exported.push(IdempotencyEntry {
                key,
                fingerprint: entry.fingerprint,
                age,
                response: entry.state.into_response(),
            });
        }
        exported.sort_unstable_by(|a, b| b.age.cmp(&a.age).then_with(|| a.key.cmp(&b.key)));
        exported
    }

    /// Adds entries from the former owner. A key that is known already keeps its entry.
    pub fn import(&mut self, now: Moment, entries: Vec<IdempotencyEntry<R>>) {
        for entry in entries {
            if entry.age >= self.max_age || self.entries.contains_key(&entry.key) {
                continue;
            }
            if self.entries.len() >= self.max_entries && !self.evict() {
                self.complete_since = now;
                return;
            }
            let state = entry.response.map_or(State::MayHaveRun, State::Responded);
            let first_use = now.saturating_sub(entry.age);
            self.insert(entry.key, Entry { fingerprint: entry.fingerprint, first_use, state });
        }
    }

    fn insert(&mut self, key: String, entry: Entry<R>) {
        let index =
            self.by_first_use.partition_point(|(first_use, _)| *first_use <= entry.first_use);
        self.by_first_use.insert(index, (entry.first_use, key.clone()));
        self.entries.insert(key, entry);
    }

    /// Removes entries that are too old, except running ones.
    fn expire(&mut self, now: Moment) {
        let Some(oldest) = now.checked_sub(self.max_age) else { return };
        let mut running = VecDeque::new();
        while let Some((first_use, key)) =
            self.by_first_use.pop_front_if(|(first_use, _)| *first_use <= oldest)
        {
            if self.is_running(first_use, &key) {
                running.push_back((first_use, key));
            } else {
                self.remove_entry(first_use, &key);
            }
        }
        running.append(&mut self.by_first_use);
        self.by_first_use = running;
    }

    /// Evicts the oldest finished entry; false if all are running.
    fn evict(&mut self) -> bool {
        let is_finished = |(first_use, key): &(Moment, String)| !self.is_running(*first_use, key);
        let Some(index) = self.by_first_use.iter().position(is_finished) else { return false };
        let Some((first_use, key)) = self.by_first_use.remove(index) else { return false };
        self.complete_since = self.complete_since.max(first_use + Duration::from_nanos(1));
        self.remove_entry(first_use, &key);
        true
    }

    /// Removes `key`, first used at `first_use`, from `by_first_use`.
    fn remove_from_order(&mut self, first_use: Moment, key: &str) {
        let start = self.by_first_use.partition_point(|(other, _)| *other < first_use);
        let same = self.by_first_use.range(start..).take_while(|(other, _)| *other == first_use);
        if let Some(offset) = same.map(|(_, other)| other).position(|other| other == key) {
            self.by_first_use.remove(start + offset);
        }
    }

    fn is_running(&self, first_use: Moment, key: &str) -> bool {
        let entry = self.entries.get(key).filter(|entry| entry.first_use == first_use);
        entry.is_some_and(|entry| matches!(entry.state, State::Running))
    }

    fn remove_entry(&mut self, first_use: Moment, key: &str) {
        if self.entries.get(key).is_some_and(|entry| entry.first_use == first_use) {
            self.entries.remove(key);
        }
    }
}

impl<R: Clone> Entry<R> {
    fn lookup(&self, fingerprint: u64) -> Lookup<R> {
        if self.fingerprint != fingerprint {
            return Lookup::Mismatch;
        }
        match &self.state {
            State::Running => Lookup::Running,
            State::Responded(response) => Lookup::Responded(response.clone()),
            State::MayHaveRun => Lookup::MayHaveRun,
        }
    }
}

impl<R> State<R> {
    fn into_response(self) -> Option<R> {
        match self {
            Self::Responded(response) => Some(response),
            Self::Running | Self::MayHaveRun => None,
        }
    }
}
