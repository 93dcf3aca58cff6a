//! Batching of joins, releases, removals, witness changes and departures of many nodes into one
//! update.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::WriteId;

use crate::ChangeRequest;
use crate::Rules;
use crate::WriteOutcome;
use crate::batch::Batch;
use crate::change_request::RequestKey;
use crate::rng::Rng;

/// How long to wait for further requests after the first: a few round trips between machines. Keys
/// of an instance's previous boot, and released ones, are not served meanwhile.
const BATCH_DELAY: Duration = Duration::from_millis(120);

/// How long a request is kept. After that its node asks another daemon, and may stop.
pub(crate) const REQUEST_LIFETIME: Duration = Duration::from_millis(1_200);

/// Delay after an update that was accepted or lost a race; the winner of a race is probably not the
/// only other writer.
const UPDATE_DELAY: Duration = Duration::from_millis(60);

/// First and longest backoff after an update that the platform did not answer; each update is a
/// billed call.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time after which the outcome of an update is no longer waited for.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Collects changes of the record that nodes delegate, and writes them in one update.
///
/// This reduces the load of many nodes that start together, release slices or leave together, or
/// lose the same members and look for new witnesses: each of their updates would cost a call and
/// conflict with the others. Safety does not depend on which daemon batches: any may, also one that
/// is no member, and the conditional update decides which write comes first.
#[derive(Debug)]
pub struct Batcher {
    /// Pending requests, and when each arrived.
    pending: BTreeMap<RequestKey, (Moment, ChangeRequest)>,
    /// When the next update is due.
    due: Moment,
    /// The update in flight, and when it was sent.
    in_flight: Option<(WriteId, Moment)>,
    /// Backoff after the next update without an answer.
    backoff: Duration,
    spread: Spread,
    rules: Rules,
    rng: Rng,
}

impl Batcher {
    /// A batcher without requests; `seed` determines its write ids and jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            pending: BTreeMap::new(),
            due: Moment::ZERO,
            in_flight: None,
            backoff: FIRST_BACKOFF,
            spread: Spread::default(),
            rules: Rules::default(),
            rng: Rng::new(seed),
        }
    }

    /// Sets how slices are spread; the same in every member of a service.
    pub fn with_spread(mut self, spread: Spread) -> Self {
        self.spread = spread;
        self
    }

    /// Replaces the rules; only tests disable one.
    #[doc(hidden)]
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// Whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds a request; it replaces an earlier one about the same.
    pub fn add(&mut self, now: Moment, request: ChangeRequest) {
        if self.pending.is_empty() {
            // After updates without an answer, the backoff applies.
            self.due = self.due.max(now + BATCH_DELAY);
        }
        self.pending.insert(request.key(), (now, request));
    }

    /// The update to `record` that is due at `now`, if any; for `excluded` and `alive` see
    /// [`apply_joins`](crate::apply_joins). Its outcome is to be reported to [`Batcher::settle`].
    pub fn draft(
        &mut self,
        now: Moment,
        record: &Record,
        excluded: &BTreeSet<BootId>,
        alive: &BTreeSet<BootId>,
    ) -> Option<Record> {
        self.drop_done(now, record);
        self.in_flight.take_if(|(_, sent)| now >= *sent + WRITE_TIMEOUT);
        if self.in_flight.is_some() || self.pending.is_empty() || now < self.due {
            return None;
        }
        let mut draft = record.clone();
        draft.version += 1;
        draft.write_id = self.rng.nonzero();
        let batch = self.batch(record);
        if batch.apply(&mut draft, self.spread, excluded, alive) == 0 {
            return None;
        }
        draft.update_fences(record);
        self.in_flight = Some((draft.write_id, now));
        Some(draft)
    }

    /// Drops requests that are settled or expired.
    fn drop_done(&mut self, now: Moment, record: &Record) {
        let rules = self.rules;
        self.pending.retain(|_, (arrived, request)| {
            let settles = match request {
                ChangeRequest::Join(_) | ChangeRequest::Depart(_) => true,
                ChangeRequest::Release(_) => rules.numbered_releases,
                ChangeRequest::Change(_) | ChangeRequest::Remove(_) => rules.match_terms,
            };
            now < *arrived + REQUEST_LIFETIME && !(settles && request.is_settled(record))
        });
    }

    /// Pending requests, in the form in which they are written to `record`.
    fn batch(&self, record: &Record) -> Batch {
        let mut batch = Batch::default();
        for (_, request) in self.pending.values() {
            batch.add(request, self.rules, record);
        }
        batch
    }

    /// Takes the outcome of an update; requests that it did not write are retried after a delay.
    pub fn settle(&mut self, now: Moment, write_id: WriteId, outcome: &WriteOutcome) {
        if self.in_flight.take_if(|(id, _)| *id == write_id).is_none() {
            return;
        }
        let delay = match outcome {
            WriteOutcome::Accepted | WriteOutcome::Conflict(_) => {
                self.backoff = FIRST_BACKOFF;
                UPDATE_DELAY
            }
            WriteOutcome::Unknown | WriteOutcome::Failed => {
                let delay = self.backoff;
                self.backoff = (delay * 2).min(MAX_BACKOFF);
                delay
            }
        };
        self.due = now + self.rng.jitter(delay);
    }
}
