//! The conditional update in flight.

use std::time::Duration;

use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;
use rattanarch_types::WriteId;

use crate::Action;
use crate::WriteOutcome;
use crate::core::Core;

/// Time after which an update without a response is resent.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// An update that may still take effect. A node has at most one.
///
/// It ends once the platform rejects it, or once the node has applied a record with its version or a higher one. Until
/// then it is resent unchanged: the first copy to arrive takes effect, and the others conflict with it.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The record to write, with its version and write id.
    pub(crate) record: Record,
    /// When it was first sent.
    pub(crate) sent: Moment,
    /// Whether a copy was sent whose outcome is unknown, so that a later failure doesn't settle the attempt.
    pub(crate) may_be_applied: bool,
    /// When to resend it.
    pub(crate) resend_at: Moment,
}

impl Core {
    /// Whether a new update may be sent now.
    pub(crate) fn can_write(&self, now: Moment) -> bool {
        self.attempt.is_none() && self.record.is_some() && self.backoff.is_over(now)
    }

    /// Whether the record was read after the backoff of a lost race, during which others may have written; reads it
    /// otherwise.
    pub(crate) fn has_reread(&mut self, now: Moment) -> bool {
        let reread = self.backoff.end().is_none_or(|end| self.platform.answered_since(end));
        if !reread {
            self.request_read(now);
        }
        reread
    }

    /// Whether the update `write_id` may still take effect.
    pub(crate) fn is_pending(&self, write_id: WriteId) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| attempt.record.write_id == write_id)
    }

    /// A copy of the applied record with the version and write id of the next update.
    pub(crate) fn draft(&mut self) -> Record {
        let mut record = self.record.as_deref().cloned().unwrap_or_default();
        record.version += 1;
        record.write_id = self.rng.nonzero();
        for slice in self.read_handovers() {
            record.handovers.remove(&slice);
        }
        record
    }

    /// Slices of this member whose handovers in the record its daemon has read, so that the record may drop them.
    pub(crate) fn read_handovers(&self) -> impl Iterator<Item = SliceId> + '_ {
        let record = self.record.as_deref().into_iter();
        record.flat_map(|record| {
            let is_mine =
                |slice: &SliceId| record.owners.get(usize::from(*slice)) == Some(&Some(self.me));
            record.handovers.keys().copied().filter(is_mine)
        })
    }

    /// Sends the update `record`, which was made from [`Core::draft`].
    pub(crate) fn write(&mut self, now: Moment, mut record: Record) {
        if let Some(older) = &self.record {
            record.update_fences(older);
        }
        self.actions.push(Action::Write(record.clone()));
        let resend_at = now + ANSWER_TIMEOUT;
        self.attempt = Some(Attempt { record, sent: now, may_be_applied: false, resend_at });
    }

    /// Handles the outcome of an update; only the record of a conflict counts if the attempt is already settled.
    pub(crate) fn write_ended(&mut self, now: Moment, write_id: WriteId, outcome: WriteOutcome) {
        if !self.is_pending(write_id) {
            if let WriteOutcome::Conflict(record) = outcome {
                self.apply(now, record);
            }
            return;
        }
        match outcome {
            WriteOutcome::Accepted => self.on_accepted(now),
            WriteOutcome::Conflict(record) => self.on_conflict(now, record),
            WriteOutcome::Unknown => self.on_unknown(now),
            WriteOutcome::Failed => self.on_failed(now),
        }
    }

    fn on_accepted(&mut self, now: Moment) {
        let Some(attempt) = self.attempt.take() else { return };
        self.accepted = Some(attempt.record.write_id);
        self.backoff.reset();
        self.platform.answered(now);
        self.apply(now, attempt.record);
        self.confirm_unwitnessed(attempt.sent);
        self.confirm_member(attempt.sent);
    }

    fn on_conflict(&mut self, now: Moment, record: Record) {
        let is_member = self.own_member().is_some();
        self.backoff.lost_race(now, &mut self.rng, is_member);
        self.platform.answered(now);
        self.apply(now, record);
    }

    fn on_unknown(&mut self, now: Moment) {
        let resend_at = self.back_off(now);
        if !self.rules.settle_lost_answers {
            self.attempt = None;
        }
        if let Some(attempt) = &mut self.attempt {
            attempt.may_be_applied = true;
            attempt.resend_at = resend_at;
        }
    }

    fn on_failed(&mut self, now: Moment) {
        if self.attempt.as_ref().is_some_and(|attempt| attempt.may_be_applied) {
            return self.on_unknown(now);
        }
        self.back_off(now);
        self.attempt = None;
    }

    fn back_off(&mut self, now: Moment) -> Moment {
        let is_member = self.own_member().is_some();
        self.backoff.failed(now, &mut self.rng, is_member)
    }

    /// Resends an update that has had no response in time.
    pub(crate) fn resend(&mut self, now: Moment) {
        let Some(attempt) = &mut self.attempt else { return };
        if now < attempt.resend_at {
            return;
        }
        attempt.may_be_applied = true;
        attempt.resend_at = now + ANSWER_TIMEOUT;
        self.actions.push(Action::Write(attempt.record.clone()));
    }
}
