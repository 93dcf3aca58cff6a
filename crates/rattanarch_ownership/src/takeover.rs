//! Taking an owner out without its consent.

use std::collections::BTreeMap;

use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::Version;

use crate::acks::majority_of;

/// One owner's takeover by this node; `S` is how far it has come: [`Sealing`], [`Waiting`] or
/// [`Ready`].
///
/// It concerns one term of the owner. It ends when a record shows the owner gone or under another
/// term, since promises for an older term bind nobody then.
#[derive(Debug)]
pub(crate) struct Takeover<S> {
    pub(crate) term: Version,
    pub(crate) state: S,
}

/// Promises are asked for.
#[derive(Debug)]
pub(crate) struct Sealing {
    /// Witnesses of the owner at the term.
    pub(crate) witnesses: Vec<BootId>,
    /// When the last acknowledgement of each witness that promised has lapsed, on this clock.
    promises: BTreeMap<BootId, Moment>,
    /// When the next requests are due.
    pub(crate) next: Moment,
}

/// A majority has promised; its last acknowledgements may still count.
#[derive(Debug)]
pub(crate) struct Waiting {
    until: Moment,
}

/// The owner cannot serve under the term any more, whatever it believes.
#[derive(Debug)]
pub(crate) struct Ready;

impl Takeover<Sealing> {
    pub(crate) fn new(term: Version, witnesses: Vec<BootId>) -> Self {
        let state = Sealing { witnesses, promises: BTreeMap::new(), next: Moment::ZERO };
        Self { term, state }
    }

    /// Takes the promise of `from`, whose last acknowledgement lapses at `lapse`.
    pub(crate) fn promise(&mut self, from: BootId, lapse: Moment) {
        if self.state.witnesses.contains(&from) {
            self.state.promises.insert(from, lapse);
        }
    }

    /// Whether `promises` more make a majority.
    pub(crate) fn lacks_at_most(&self, promises: usize) -> bool {
        let needed = majority_of(self.state.witnesses.len());
        needed.is_some_and(|needed| self.state.promises.len() + promises >= needed)
    }

    /// Goes on once a majority has promised.
    pub(crate) fn sealed(self) -> Result<Takeover<Waiting>, Self> {
        if !self.lacks_at_most(0) {
            return Err(self);
        }
        let until = self.state.promises.values().copied().max().unwrap_or_default();
        Ok(Takeover { term: self.term, state: Waiting { until } })
    }
}

impl Takeover<Waiting> {
    /// Goes on once every acknowledgement of the promised majority has lapsed.
    pub(crate) fn lapsed(self, now: Moment) -> Result<Takeover<Ready>, Self> {
        if now < self.state.until {
            return Err(self);
        }
        Ok(Takeover { term: self.term, state: Ready })
    }
}

/// A takeover at any stage.
#[derive(Debug)]
pub(crate) enum Stage {
    Sealing(Takeover<Sealing>),
    Waiting(Takeover<Waiting>),
    Ready(Takeover<Ready>),
}

impl Stage {
    pub(crate) fn term(&self) -> Version {
        match self {
            Self::Sealing(takeover) => takeover.term,
            Self::Waiting(takeover) => takeover.term,
            Self::Ready(takeover) => takeover.term,
        }
    }

    /// Goes on as far as `now` allows.
    pub(crate) fn advance(self, now: Moment) -> Self {
        match self {
            Self::Sealing(takeover) => match takeover.sealed() {
                Ok(waiting) => Self::Waiting(waiting).advance(now),
                Err(sealing) => Self::Sealing(sealing),
            },
            Self::Waiting(takeover) => match takeover.lapsed(now) {
                Ok(ready) => Self::Ready(ready),
                Err(waiting) => Self::Waiting(waiting),
            },
            Self::Ready(takeover) => Self::Ready(takeover),
        }
    }

    /// A takeover that an operator's word allows without promises.
    pub(crate) fn declared(term: Version) -> Self {
        Self::Ready(Takeover { term, state: Ready })
    }
}
