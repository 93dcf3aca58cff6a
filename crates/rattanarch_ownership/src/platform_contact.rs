//! What a node knows of the platform's being there.

use std::time::Duration;

use rattanarch_types::Moment;

/// Doublings of the pause between reads that are not answered: up to eight times.
const MAX_DOUBLINGS: u32 = 3;

/// Reads asked of the platform and their answers.
#[derive(Debug, Default)]
pub(crate) struct PlatformContact {
    asked: Option<Moment>,
    unanswered: u32,
    answered: Option<Moment>,
    /// When another daemon last had an answer, as far as this node was told.
    seen: Option<Moment>,
    /// Send time of the newest platform answer that showed this member without witnesses.
    pub(crate) unwitnessed_at: Option<Moment>,
    /// Send time of the newest platform answer that showed this node as a member.
    pub(crate) member_at: Option<Moment>,
}

impl PlatformContact {
    /// Whether to ask again: at most once in `pause`, and more seldom without answers.
    pub(crate) fn should_read(&mut self, now: Moment, pause: Duration) -> bool {
        let pause = pause * (1 << self.unanswered.min(MAX_DOUBLINGS));
        let due = self.asked.is_none_or(|asked| now >= asked + pause);
        if due {
            self.asked = Some(now);
            self.unanswered += 1;
        }
        due
    }

    /// Takes an answer that came at `now`.
    pub(crate) fn answered(&mut self, now: Moment) {
        self.answered = Some(now);
        self.unanswered = 0;
    }

    /// Takes word that the platform answered another daemon at `at`.
    pub(crate) fn seen_by_peer(&mut self, at: Moment) {
        self.seen = self.seen.max(Some(at));
    }

    /// Whether the platform answered this node or another daemon at or after `moment`.
    pub(crate) fn reachable_since(&self, moment: Moment) -> bool {
        self.answered.max(self.seen).is_some_and(|answered| answered >= moment)
    }

    /// Whether the platform answered this node at or after `moment`.
    pub(crate) fn answered_since(&self, moment: Moment) -> bool {
        self.answered.is_some_and(|answered| answered >= moment)
    }
}
