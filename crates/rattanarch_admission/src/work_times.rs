//! Service times by class of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanarch_types::Moment;
use rattanarch_types::Rank;

/// EWMA weight of a new service time in the mean of a class.
const WEIGHT: f64 = 0.05;

/// Responses after which the mean of a class is used.
const MIN_RESPONSES: u32 = 10;

/// Time without a response of a class after which its mean is forgotten. Its requests may all be refused because of that
/// mean, which no response would correct then. With 2 s, requests that are rightly refused while one flow sends five times its
/// usual started too, and 0.9 % fewer of the others were served in time.
const MAX_AGE: Duration = Duration::from_secs(4);

/// Most classes that are kept. Requests of further ones have the mean of all.
const MAX_CLASSES: usize = 64;

/// Requests that are likely to be of one route: of one rank, with about the same time between objective and deadline,
/// which a retry does not change. Routes with short objectives have short work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkClass {
    rank: Rank,
    /// Binary logarithm of the time between objective and deadline in milliseconds, in quarters.
    leeway: u16,
}

impl WorkClass {
    /// The class of a request.
    pub fn new(rank: Rank, objective: Moment, deadline: Moment) -> Self {
        let leeway = deadline.saturating_sub(objective).as_secs_f64() * 1_000.0;
        Self { rank, leeway: (leeway.max(1.0).log2() * 4.0).round() as u16 }
    }
}

/// Mean service time of each class of requests.
///
/// This is designed for upstreams that serve some ten routes whose work differs by up to ten times: by the mean of all,
/// requests with little work and a short objective would be late before they wait.
#[derive(Clone, Debug, Default)]
pub struct WorkTimes {
    /// At most [`MAX_CLASSES`] entries.
    by_class: BTreeMap<WorkClass, ClassTime>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ClassTime {
    /// Mean service time in seconds.
    mean: f64,
    responses: u32,
    /// When the last response came.
    updated: Moment,
}

impl ClassTime {
    fn is_old(&self, now: Moment) -> bool {
        now >= self.updated + MAX_AGE
    }
}

impl WorkTimes {
    /// Records the service time of a response at `now`.
    pub fn record(&mut self, now: Moment, class: WorkClass, service_time: Duration) {
        if self.by_class.len() >= MAX_CLASSES && !self.by_class.contains_key(&class) {
            self.by_class.retain(|_, time| !time.is_old(now));
        }
        if self.by_class.len() >= MAX_CLASSES && !self.by_class.contains_key(&class) {
            return;
        }
        let time = self.by_class.entry(class).or_default();
        if time.is_old(now) {
            *time = ClassTime::default();
        }
        time.updated = now;
        time.responses = time.responses.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(time.responses));
        time.mean += (service_time.as_secs_f64() - time.mean) * weight;
    }

    /// Mean service time of a class, while enough responses are known and the last one is recent at `now`.
    pub fn mean(&self, now: Moment, class: WorkClass) -> Option<Duration> {
        let time = self.by_class.get(&class)?;
        let is_known = time.responses >= MIN_RESPONSES && !time.is_old(now);
        is_known.then(|| Duration::from_secs_f64(time.mean))
    }
}
