//! Reads of the platform and its reachability.

use std::time::Duration;

use rattanarch_types::Moment;

/// The interval between reads grows up to eightfold while none is answered.
const MAX_DOUBLINGS: u32 = 3;

/// When the platform was last read, and when it last answered.
#[derive(Debug, Default)]
pub(crate) struct PlatformContact {
    last_read: Option<Moment>,
    unanswered_reads: u32,
    last_answer: Option<Moment>,
    /// Send time of the newest call of another daemon that the platform answered, as far as this node knows.
    last_peer_call: Option<Moment>,
    /// Send time of the newest call whose response showed this member without witnesses.
    pub(crate) unwitnessed_at: Option<Moment>,
    /// Send time of the newest call whose response showed this node as a member.
    pub(crate) member_at: Option<Moment>,
}

impl PlatformContact {
    /// Whether to send a read now: at most one per `interval`, which doubles with each read without an answer. Counts
    /// the read as sent if so.
    pub(crate) fn should_read(&mut self, now: Moment, interval: Duration) -> bool {
        let interval = interval * (1 << self.unanswered_reads.min(MAX_DOUBLINGS));
        let due = self.last_read.is_none_or(|sent| now >= sent + interval);
        if due {
            self.last_read = Some(now);
            self.unanswered_reads += 1;
        }
        due
    }

    /// Counts an answer that came at `now`.
    pub(crate) fn answered(&mut self, now: Moment) {
        self.last_answer = Some(now);
        self.unanswered_reads = 0;
    }

    /// Counts an answer to a call that another daemon sent at `call_sent`.
    pub(crate) fn reached_by_peer(&mut self, call_sent: Moment) {
        self.last_peer_call = self.last_peer_call.max(Some(call_sent));
    }

    /// Whether the platform answered this node at or after `moment`, or a call that another daemon sent then or later.
    pub(crate) fn reachable_since(&self, moment: Moment) -> bool {
        self.last_answer.max(self.last_peer_call).is_some_and(|answered| answered >= moment)
    }

    /// Whether the platform answered this node at or after `moment`.
    pub(crate) fn answered_since(&self, moment: Moment) -> bool {
        self.last_answer.is_some_and(|answered| answered >= moment)
    }
}
