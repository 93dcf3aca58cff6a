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
    pub(crate) stage: S,
}

/// Collects promises of the owner's witnesses not to acknowledge the term any more.
#[derive(Debug)]
pub(crate) struct Sealing {
    /// The owner's witnesses under the term.
    pub(crate) witnesses: Vec<BootId>,
    /// For each witness that has promised: when its last acknowledgement expires, on this node's clock.
    promises: BTreeMap<BootId, Moment>,
    /// When the grants of the previous boot that the owner has replaced have expired.
    predecessor_lapse: Moment,
    /// When the next requests to the witnesses are due.
    pub(crate) next: Moment,
}

/// A majority of the witnesses has promised; acknowledgements that these witnesses sent earlier, or
/// grants of a previous boot that the owner has replaced, may still be valid, until `until`.
#[derive(Debug)]
pub(crate) struct Waiting {
    until: Moment,
}

/// The owner's lease under the term has ended and can't be renewed, even if the owner has not noticed
/// it.
#[derive(Debug)]
pub(crate) struct Ready;

impl Takeover<Sealing> {
    pub(crate) fn new(term: Version, witnesses: Vec<BootId>, predecessor_lapse: Moment) -> Self {
        let promises = BTreeMap::new();
        let stage = Sealing { witnesses, promises, predecessor_lapse, next: Moment::ZERO };
        Self { term, stage }
    }

    /// Records the promise of `from`, whose last acknowledgement expires at `lapse`.
    pub(crate) fn promise(&mut self, from: BootId, lapse: Moment) {
        if self.stage.witnesses.contains(&from) {
            self.stage.promises.insert(from, lapse);
        }
    }

    /// Whether the promises received so far and `additional` more are a majority of the witnesses;
    /// false if there are no witnesses.
    pub(crate) fn has_majority_with(&self, additional: usize) -> bool {
        let needed = majority_of(self.stage.witnesses.len());
        needed.is_some_and(|needed| self.stage.promises.len() + additional >= needed)
    }

    /// Moves to the next stage once a majority has promised.
    ///
    /// # Errors
    /// Returns the takeover unchanged if no majority of the witnesses has promised yet.
    pub(crate) fn try_seal(self) -> Result<Takeover<Waiting>, Self> {
        if !self.has_majority_with(0) {
            return Err(self);
        }
        let lapse = self.stage.promises.values().copied().max().unwrap_or_default();
        let until = lapse.max(self.stage.predecessor_lapse);
        Ok(Takeover { term: self.term, stage: Waiting { until } })
    }
}

impl Takeover<Waiting> {
    /// Moves to the next stage once every acknowledgement of the witnesses that promised, and every
    /// grant of a replaced boot, has expired.
    ///
    /// # Errors
    /// Returns the takeover unchanged if one of these may still be valid at `now`.
    pub(crate) fn try_finish_waiting(self, now: Moment) -> Result<Takeover<Ready>, Self> {
        if now < self.stage.until {
            return Err(self);
        }
        Ok(Takeover { term: self.term, stage: Ready })
    }
}

/// A takeover at any of its stages.
#[derive(Debug)]
pub(crate) enum AnyTakeover {
    Sealing(Takeover<Sealing>),
    Waiting(Takeover<Waiting>),
    Ready(Takeover<Ready>),
}

impl AnyTakeover {
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
            Self::Sealing(takeover) => match takeover.try_seal() {
                Ok(waiting) => Self::Waiting(waiting).advance(now),
                Err(sealing) => Self::Sealing(sealing),
            },
            Self::Waiting(takeover) => match takeover.try_finish_waiting(now) {
                Ok(ready) => Self::Ready(ready),
                Err(waiting) => Self::Waiting(waiting),
            },
            Self::Ready(takeover) => Self::Ready(takeover),
        }
    }

    /// Takeover of an owner that an operator has declared lost. It needs no promises; the caller must
    /// have waited until the owner's lease has ended.
    pub(crate) fn ready_by_declaration(term: Version) -> Self {
        Self::Ready(Takeover { term, stage: Ready })
    }
}
