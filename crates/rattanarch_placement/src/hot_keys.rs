//! Finding the hottest keys in bounded memory.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanarch_types::KeyHash;

/// Counts of the most frequent keys: the space-saving sketch of Metwally, Agrawal and El Abbadi.
///
/// It keeps a fixed number of counters. A key without one takes over the smallest counter and adds
/// to its count, which it remembers as a possible error; so a key that makes up more than one part
/// in `capacity` of all requests always has a counter, and `count - error` never exceeds the true
/// count. No maintained library offers the sketch with per-key errors and a reset, and it is a map
/// and a set.
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
    /// Counters by key; at most `capacity`.
    counters: BTreeMap<KeyHash, Counter>,
    /// The same counters by count, smallest first.
    order: BTreeSet<(u64, KeyHash)>,
    capacity: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counter {
    /// Requests counted; never below the true count since the last reset.
    count: u64,
    /// Most that `count` may exceed the true count by.
    error: u64,
}

impl HotKeys {
    /// A sketch of `capacity` counters; at least 1.
    pub fn new(capacity: usize) -> Self {
        Self { counters: BTreeMap::new(), order: BTreeSet::new(), capacity: capacity.max(1) }
    }

    /// Counts one request for `key`.
    pub fn count(&mut self, key: KeyHash) {
        let counter = match self.counters.remove(&key) {
            Some(counter) => {
                self.order.remove(&(counter.count, key));
                counter
            }
            None => self.make_room(),
        };
        let counter = Counter { count: counter.count + 1, ..counter };
        self.counters.insert(key, counter);
        self.order.insert((counter.count, key));
    }

    /// A new counter: an empty one, or the smallest of a full sketch.
    fn make_room(&mut self) -> Counter {
        if self.counters.len() < self.capacity {
            return Counter::default();
        }
        let Some((count, smallest)) = self.order.pop_first() else { return Counter::default() };
        self.counters.remove(&smallest);
        Counter { count, error: count }
    }

    /// Requests a second of each key that certainly had some in the `span` since the last call,
    /// and starts anew.
    pub fn take_rates(&mut self, span: Duration) -> BTreeMap<KeyHash, u32> {
        self.order.clear();
        let counters = std::mem::take(&mut self.counters);
        let seconds = span.as_secs_f64().max(f64::MIN_POSITIVE);
        let rate = |counter: Counter| ((counter.count - counter.error) as f64 / seconds) as u32;
        let rates = counters.into_iter().map(|(key, counter)| (key, rate(counter)));
        rates.filter(|(_, rate)| *rate > 0).collect()
    }
}
