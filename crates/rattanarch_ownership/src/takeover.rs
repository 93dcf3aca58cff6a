//! Takeover of one owner, without its cooperation.

use std::collections::BTreeMap;

use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::Version;

use crate::acks::majority_of;

/// The takeover of one owner by this node; `S` is its stage: [`Sealing`], [`Waiting`] or [`Ready`].
///
/// It is bound to one term of the owner, and ends when a record shows the owner gone or under
/// another term, since promises for the old term have no effect on a new one.
#[derive(Debug)]
pub(crate) struct Takeover<S> {
    pub(crate) term: Version,
    pub(crate) state: S,
}

/// Collects promises from the owner's witnesses.
#[derive(Debug)]
pub(crate) struct Sealing {
    /// The owner's witnesses under the term.
    pub(crate) witnesses: Vec<BootId>,
    /// When the last acknowledgement of each promising witness expires, by this node's clock.
    promises: BTreeMap<BootId, Moment>,
    /// When the next requests to the witnesses are due.
    pub(crate) next: Moment,
}

/// A majority has promised; acknowledgements that it gave before may still be valid.
#[derive(Debug)]
pub(crate) struct Waiting {
    until: Moment,
}

/// The owner can't serve under the term any more, whatever it believes.
#[derive(Debug)]
pub(crate) struct Ready;

impl Takeover<Sealing> {
    pub(crate) fn new(term: Version, witnesses: Vec<BootId>) -> Self {
        let state = Sealing { witnesses, promises: BTreeMap::new(), next: Moment::ZERO };
        Self { term, state }
    }

    /// Records the promise of `from`, whose last acknowledgement expires at `lapse`.
    pub(crate) fn promise(&mut self, from: BootId, lapse: Moment) {
        if self.state.witnesses.contains(&from) {
            self.state.promises.insert(from, lapse);
        }
    }

    /// Whether `promises` more would make a majority.
    pub(crate) fn lacks_at_most(&self, promises: usize) -> bool {
        let needed = majority_of(self.state.witnesses.len());
        needed.is_some_and(|needed| self.state.promises.len() + promises >= needed)
    }

    /// Moves to the next stage once a majority has promised.
    pub(crate) fn sealed(self) -> Result<Takeover<Waiting>, Self> {
        if !self.lacks_at_most(0) {
            return Err(self);
        }
        let until = self.state.promises.values().copied().max().unwrap_or_default();
        Ok(Takeover { term: self.term, state: Waiting { until } })
    }
}

impl Takeover<Waiting> {
    /// Moves to the next stage once every acknowledgement of the promising witnesses has expired.
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

    /// Moves through all stages that are complete at `now`.
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

    /// A takeover that needs no promises, since an operator has declared the owner lost.
    pub(crate) fn declared(term: Version) -> Self {
        Self::Ready(Takeover { term, state: Ready })
    }
}
