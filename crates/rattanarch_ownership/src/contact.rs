//! What a node knows of the platform's being there.

use std::time::Duration;

use rattanarch_types::Moment;

/// Reads asked of the platform and their answers.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    asked: Option<Moment>,
    answered: Option<Moment>,
    /// Send time of the newest platform answer that showed this member without witnesses.
    pub(crate) unwitnessed: Option<Moment>,
}

impl Contact {
    /// Whether to ask again: at most once in `pause`.
    pub(crate) fn ask(&mut self, now: Moment, pause: Duration) -> bool {
        let due = self.asked.is_none_or(|asked| now >= asked + pause);
        if due {
            self.asked = Some(now);
        }
        due
    }

    /// Takes an answer to a request that was sent at `sent`.
    pub(crate) fn answer(&mut self, sent: Moment) {
        self.answered = self.answered.max(Some(sent));
    }

    /// Whether the platform answered a request sent at or after `moment`.
    pub(crate) fn since(&self, moment: Moment) -> bool {
        self.answered.is_some_and(|answered| answered >= moment)
    }
}
