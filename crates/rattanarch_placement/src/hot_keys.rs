//! Finds the most requested keys in bounded memory.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanarch_types::KeyHash;

/// Counts of the most frequent keys: the space-saving sketch of Metwally, Agrawal and El Abbadi.
///
/// It keeps a fixed number of counters. A key without one replaces the key with the smallest count, continues
/// from that count and remembers it as the possible error. So a key that makes up more than 1 / `capacity` of
/// all requests always has a counter, and `count - error` never exceeds the true count. The sketch is
/// implemented here because no maintained library offers it with per-key errors and a reset, and it takes only
/// a map and a set.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_placement::HotKeys;
///
/// let mut keys = HotKeys::new(4);
/// for request in 0..1_000u64 {
///     keys.count(if request % 2 == 0 { 7 } else { request });
/// }
/// let rates = keys.take_rates(Duration::from_secs(1));
/// assert!(rates[&7] > 200);
/// ```
#[derive(Clone, Debug)]
pub struct HotKeys {
    /// Counters by key, `capacity` at most.
    counters: BTreeMap<KeyHash, Counter>,
    /// The same counters ordered by count, smallest first.
    by_count: BTreeSet<(u64, KeyHash)>,
    capacity: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counter {
    /// Requests counted; never below the true count since the last reset.
    count: u64,
    /// Upper bound on how far `count` exceeds the true count.
    error: u64,
}

impl HotKeys {
    /// Creates a sketch with `capacity` counters, at least 1.
    pub fn new(capacity: usize) -> Self {
        Self { counters: BTreeMap::new(), by_count: BTreeSet::new(), capacity: capacity.max(1) }
    }

    /// Counts one request for `key`.
    pub fn count(&mut self, key: KeyHash) {
        let counter = match self.counters.remove(&key) {
            Some(counter) => {
                self.by_count.remove(&(counter.count, key));
                counter
            }
            None => self.new_counter(),
        };
        let counter = Counter { count: counter.count + 1, ..counter };
        self.counters.insert(key, counter);
        self.by_count.insert((counter.count, key));
    }

    /// A counter for a new key: an empty one, or that with the smallest count if the sketch is full.
    fn new_counter(&mut self) -> Counter {
        if self.counters.len() < self.capacity {
            return Counter::default();
        }
        let Some((count, smallest)) = self.by_count.pop_first() else { return Counter::default() };
        self.counters.remove(&smallest);
        Counter { count, error: count }
    }

    /// Returns the guaranteed requests per second of each key over `span`, the time since the last call, without keys
    /// whose rate rounds down to 0. Resets the sketch.
    pub fn take_rates(&mut self, span: Duration) -> BTreeMap<KeyHash, u32> {
        self.by_count.clear();
        let counters = std::mem::take(&mut self.counters);
        let seconds = span.as_secs_f64().max(f64::MIN_POSITIVE);
        let rate = |counter: Counter| ((counter.count - counter.error) as f64 / seconds) as u32;
        let rates = counters.into_iter().map(|(key, counter)| (key, rate(counter)));
        rates.filter(|(_, rate)| *rate > 0).collect()
    }
}
