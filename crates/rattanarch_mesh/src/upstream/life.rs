//! One life of the upstream, from a start to the next.

use std::time::Duration;

use derive_more::Display;
use rattanarch_adapter::Heartbeat;
use rattanarch_types::Moment;

/// One life of the upstream, from its first heartbeat to the first one of the next life.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Life {
    /// Id of the life. Requests carry it, so that no other life runs them.
    pub(crate) id: String,
    /// Unix milliseconds of its start by its own clock, which order the lives of one slot.
    pub(crate) started_at_ms: u64,
    /// Highest sequence number of its heartbeats.
    pub(crate) sequence: u64,
    /// When its first heartbeat arrived at this process.
    pub(crate) began: Moment,
    /// When its last heartbeat arrived.
    pub(crate) last_heartbeat: Moment,
    /// When the daemon first acknowledged that it leaves, or passed on a response that says so.
    pub(crate) leaving: Option<Moment>,
    /// When a connection to it was first refused since its last heartbeat.
    pub(crate) refused: Option<Moment>,
    /// Whether its end was recorded.
    pub(crate) ended: bool,
    /// Requests a second that it takes, by its last response; `None` without a limit.
    pub(crate) rate_limit: Option<f64>,
    /// When its last response began to arrive.
    pub(crate) heard: Option<Moment>,
    /// When its health was last checked.
    pub(crate) checked: Option<Moment>,
}

/// What tells a life from all others.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{id}/{started_at_ms}")]
pub(crate) struct LifeKey {
    /// As [`Life::id`].
    pub(crate) id: String,
    /// As [`Life::started_at_ms`].
    pub(crate) started_at_ms: u64,
}

/// From what a daemon learns that the upstream is leaving.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum LeavingSource {
    #[display("heartbeat")]
    Heartbeat,
    #[display("deregistration")]
    Deregistration,
    #[display("response")]
    Response,
    /// Another daemon, which has passed on such a response.
    #[display("peer")]
    Peer,
}

/// Order of a heartbeat relative to those received before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HeartbeatOrder {
    /// The same life, with a higher sequence number than all before.
    Newer,
    /// The same life, but a later heartbeat arrived first.
    Overtaken,
    /// A new life.
    NewLife,
    /// A life that has ended.
    EndedLife,
}

impl Life {
    /// Creates a life whose first heartbeat `beat` arrived at `now`.
    pub(crate) fn new(id: &str, beat: &Heartbeat, now: Moment) -> Self {
        let (started_at_ms, sequence) = (beat.started_at_ms, beat.sequence);
        Self {
            id: id.to_owned(),
            started_at_ms,
            sequence,
            began: now,
            last_heartbeat: now,
            leaving: None,
            refused: None,
            ended: false,
            rate_limit: None,
            heard: None,
            checked: None,
        }
    }

    /// Time until the next heartbeat is due, at least a millisecond; `interval` is that between two heartbeats.
    pub(crate) fn next_heartbeat(&self, now: Moment, interval: Duration) -> Duration {
        let due = (self.last_heartbeat + interval).saturating_sub(now);
        due.max(Duration::from_millis(1))
    }

    /// What tells this life from all others.
    pub(crate) fn key(&self) -> LifeKey {
        LifeKey { id: self.id.clone(), started_at_ms: self.started_at_ms }
    }

    /// Whether `key` is that of this life.
    pub(crate) fn has_key(&self, key: &LifeKey) -> bool {
        self.id == key.id && self.started_at_ms == key.started_at_ms
    }

    /// Records that this life has been leaving since `since`, as `source` tells; returns whether this was not known.
    pub(crate) fn leave(&mut self, since: Moment, source: LeavingSource) -> bool {
        let is_news = self.leaving.is_none();
        self.leaving = Some(self.leaving.map_or(since, |known| known.min(since)));
        if is_news {
            log::info!(life:% = self.id, source:% = source; "upstream is leaving");
        }
        is_news
    }

    /// Order of the heartbeat `beat` of the life `id` relative to this life's heartbeats.
    pub(crate) fn order_of(&self, id: &str, beat: &Heartbeat) -> HeartbeatOrder {
        if beat.started_at_ms < self.started_at_ms {
            return HeartbeatOrder::EndedLife;
        }
        if beat.started_at_ms > self.started_at_ms || id != self.id {
            return HeartbeatOrder::NewLife;
        }
        if beat.sequence > self.sequence {
            HeartbeatOrder::Newer
        } else {
            HeartbeatOrder::Overtaken
        }
    }
}
