//! What is known of one request that was in flight when upstreams ended.

use std::time::Duration;

use derive_more::Display;
use rattanarch_types::Moment;

use crate::Fingerprint;

/// Identifies the end of one life of an upstream.
pub type EndId = u64;

/// Most ends that are kept of one request.
pub const MAX_ENDS: usize = 8;

/// What the end of an upstream says about a request that was in flight then. Of two reports the higher one holds.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EndState {
    /// The request was in flight among others.
    #[display("in-flight")]
    InFlight,
    /// It ran as a trial, alone among suspects: it has ended the upstream.
    #[display("alone")]
    Alone,
    /// A later run of it was answered: something else has ended the upstream.
    #[display("cleared")]
    Cleared,
}

/// What one daemon tells others about a suspect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time since the newest change that the sender knows of.
    pub age: Duration,
    /// Ends at which it was in flight, at most [`MAX_ENDS`], by id.
    pub ends: Vec<(EndId, EndState)>,
}

/// A request that was in flight when upstreams ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    /// Ends by id, at most [`MAX_ENDS`].
    ends: Vec<(EndId, EndState)>,
    /// When this daemon learned of the newest change, and the age of that change then; `None` before the first one.
    changed: Option<(Moment, Duration)>,
    /// How many more times its report is sent.
    pub(crate) sends_left: u8,
}

impl Suspect {
    /// Time since the newest change; the maximum before the first one.
    pub(crate) fn age(&self, now: Moment) -> Duration {
        self.changed.map_or(Duration::MAX, |(learned, age)| age + now.saturating_sub(learned))
    }

    /// Ends that are not cleared.
    pub(crate) fn end_count(&self) -> usize {
        self.ends.iter().filter(|(_, state)| *state != EndState::Cleared).count()
    }

    /// Ends that are proofs.
    pub(crate) fn proof_count(&self) -> usize {
        self.ends.iter().filter(|(_, state)| *state == EndState::Alone).count()
    }

    /// Applies what a report of `age` says about its ends; returns whether any of it was new.
    pub(crate) fn merge(&mut self, now: Moment, age: Duration, ends: &[(EndId, EndState)]) -> bool {
        let before = self.ends.clone();
        for (id, state) in ends {
            self.merge_end(*id, *state);
        }
        let is_new = self.ends != before;
        if is_new {
            self.changed = Some((now, self.age(now).min(age)));
        }
        is_new
    }

    /// Clears all ends; returns whether any was not cleared yet.
    pub(crate) fn clear(&mut self, now: Moment) -> bool {
        if self.end_count() == 0 {
            return false;
        }
        self.ends.iter_mut().for_each(|(_, state)| *state = EndState::Cleared);
        self.changed = Some((now, Duration::ZERO));
        true
    }

    /// A report on it.
    pub(crate) fn report(&self, now: Moment, fingerprint: Fingerprint) -> SuspectReport {
        SuspectReport { fingerprint, age: self.age(now), ends: self.ends.clone() }
    }

    /// Its ends by id.
    pub(crate) fn ends(&self) -> &[(EndId, EndState)] {
        &self.ends
    }

    fn merge_end(&mut self, id: EndId, state: EndState) {
        match self.ends.binary_search_by_key(&id, |(id, _)| *id) {
            Ok(index) => self.ends[index].1 = self.ends[index].1.max(state),
            Err(index) => self.ends.insert(index, (id, state)),
        }
        if self.ends.len() > MAX_ENDS {
            // The same one at each daemon, so that their tables become equal.
            let is_cleared = |(_, state): &(EndId, EndState)| *state == EndState::Cleared;
            self.ends.remove(self.ends.iter().position(is_cleared).unwrap_or_default());
        }
    }
}
