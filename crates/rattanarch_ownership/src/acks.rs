//! Acknowledgements of one term of an owner.

use std::collections::BTreeMap;

use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::Version;

/// Newest acknowledgement of each witness for one term.
#[derive(Clone, Debug, Default)]
pub(crate) struct Acks {
    /// Acknowledged term.
    pub(crate) term: Version,
    /// Since when the term can be acknowledged.
    began: Moment,
    /// Witnesses that may acknowledge it.
    pub(crate) witnesses: Vec<BootId>,
    /// Send time of the newest acknowledged request, by witness.
    sent: BTreeMap<BootId, Moment>,
}

impl Acks {
    pub(crate) fn new(began: Moment, term: Version, witnesses: Vec<BootId>) -> Self {
        Self { term, began, witnesses, sent: BTreeMap::new() }
    }

    /// Since when the term can be acknowledged.
    pub(crate) fn began(&self) -> Moment {
        self.began
    }

    /// Adds an acknowledgement; one of another term or from a node that is no witness is ignored.
    pub(crate) fn add(&mut self, from: BootId, term: Version, sent: Moment) {
        if term != self.term || !self.witnesses.contains(&from) {
            return;
        }
        let newest = self.sent.entry(from).or_default();
        *newest = sent.max(*newest);
    }

    /// Latest time `t` such that a majority of the witnesses has acknowledged requests sent at `t` or later; `None`
    /// without a majority or without witnesses.
    pub(crate) fn majority_sent(&self) -> Option<Moment> {
        self.nth_newest(majority_of(self.witnesses.len())?)
    }

    /// The same for any `count` witnesses.
    pub(crate) fn nth_newest(&self, count: usize) -> Option<Moment> {
        let mut sent: Vec<_> = self.sent.values().copied().collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.get(count.checked_sub(1)?).copied()
    }

    /// Witnesses whose newest acknowledged request was sent before `moment`.
    pub(crate) fn silent_since(&self, moment: Moment) -> Vec<BootId> {
        let newest = |id: &BootId| self.sent.get(id).copied().unwrap_or_default().max(self.began);
        self.witnesses.iter().copied().filter(|id| newest(id) < moment).collect()
    }
}

/// Size of a majority of `count`; `None` for 0.
pub(crate) fn majority_of(count: usize) -> Option<usize> {
    (count > 0).then_some(count / 2 + 1)
}
