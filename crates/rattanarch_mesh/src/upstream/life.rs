//! One life of the upstream.

use rattanarch_adapter::Heartbeat;
use rattanarch_types::Moment;

/// One life of the upstream, from its first heartbeat to that of the next life.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Life {
    /// Name of the life, which requests bear so that no other one runs them.
    pub(crate) id: String,
    /// Unix milliseconds of its start by its own clock; lives of one slot are ordered by it.
    pub(crate) born: u64,
    /// Highest sequence number of its heartbeats.
    pub(crate) sequence: u64,
    /// When its last heartbeat came.
    pub(crate) last_heartbeat: Moment,
    /// When its leaving was first acknowledged.
    pub(crate) leaving: Option<Moment>,
    /// When a connection to it was refused, since its last heartbeat.
    pub(crate) refused: Option<Moment>,
}

/// How a heartbeat relates to the life that is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kinship {
    /// The same life, later than all heartbeats before.
    Newer,
    /// The same life; another heartbeat has overtaken it.
    Overtaken,
    /// A new life.
    Successor,
    /// A life that has ended.
    Predecessor,
}

impl Life {
    /// A life whose first heartbeat came at `now`.
    pub(crate) fn new(id: &str, beat: &Heartbeat, now: Moment) -> Self {
        let (born, sequence) = (beat.born, beat.sequence);
        Self {
            id: id.to_owned(),
            born,
            sequence,
            last_heartbeat: now,
            leaving: None,
            refused: None,
        }
    }

    /// How a heartbeat of the life `id` relates to this one.
    pub(crate) fn kinship(&self, id: &str, beat: &Heartbeat) -> Kinship {
        if beat.born < self.born {
            return Kinship::Predecessor;
        }
        if beat.born > self.born || id != self.id {
            return Kinship::Successor;
        }
        if beat.sequence > self.sequence { Kinship::Newer } else { Kinship::Overtaken }
    }
}
