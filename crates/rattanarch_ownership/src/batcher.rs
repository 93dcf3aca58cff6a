//! Joins, releases, takeovers, changes of witnesses and departures of many nodes in one update.

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

/// Time in which further petitions are waited for after the first: a few round trips between machines. Keys of an
/// older life, and those that are released, are not served meanwhile.
const GATHER_TIME: Duration = Duration::from_millis(120);

/// How long a petition is kept: its node asks another daemon after that, and may end.
pub(crate) const REQUEST_LIFETIME: Duration = Duration::from_millis(1_200);

/// Pause after a lost race: whoever won it is not alone.
const RACE_PAUSE: Duration = Duration::from_millis(60);

/// First and longest pause after an update that the platform did not answer; each is a priced call.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Time after which an update without an end is no longer waited for.
const WRITE_PATIENCE: Duration = Duration::from_millis(2_500);

/// Petitions of nodes that one daemon writes into the record.
///
/// Answers the load of many nodes that start together, give slices away or leave together, or lose others together and
/// look for new witnesses: each of their updates would cost a call and meet those of the others. No right rests on
/// being the gatherer: any daemon may gather, also one that is no member, and the conditional update settles who was
/// first.
#[derive(Debug)]
pub struct Batcher {
    /// Petitions, and when each came.
    waiting: BTreeMap<RequestKey, (Moment, ChangeRequest)>,
    /// When the next update is due.
    due: Moment,
    /// The update on its way, and when it was sent.
    writing: Option<(WriteId, Moment)>,
    /// Pause after the next update without an answer.
    pause: Duration,
    spread: Spread,
    rules: Rules,
    rng: Rng,
}

impl Batcher {
    /// A gatherer without petitions; `seed` feeds its write ids and jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            waiting: BTreeMap::new(),
            due: Moment::ZERO,
            writing: None,
            pause: FIRST_PAUSE,
            spread: Spread::default(),
            rules: Rules::default(),
            rng: Rng::new(seed),
        }
    }

    /// Spreads slices another way; the same in every member of a service.
    pub fn with_spread(mut self, spread: Spread) -> Self {
        self.spread = spread;
        self
    }

    /// Replaces the rules; tests alone put one out of force.
    #[doc(hidden)]
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// Whether nobody waits to be written.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes a petition; it replaces what the same node asked for before about the same.
    pub fn add(&mut self, now: Moment, petition: ChangeRequest) {
        if self.waiting.is_empty() {
            // After updates without an answer the pause counts.
            self.due = self.due.max(now + GATHER_TIME);
        }
        self.waiting.insert(petition.subject(), (now, petition));
    }

    /// The update that is due at `now` to `record`, if any; see [`apply_joins`](crate::apply_joins) for the others. Its end is to be
    /// told by [`Batcher::settle`].
    pub fn draft(
        &mut self,
        now: Moment,
        record: &Record,
        barred: &BTreeSet<BootId>,
        alive: &BTreeSet<BootId>,
    ) -> Option<Record> {
        self.forget(now, record);
        self.writing.take_if(|(_, sent)| now >= *sent + WRITE_PATIENCE);
        if self.writing.is_some() || self.waiting.is_empty() || now < self.due {
            return None;
        }
        let mut draft = record.clone();
        draft.version += 1;
        draft.write_id = self.rng.nonzero();
        let batch = self.batch(record);
        if batch.apply(&mut draft, self.spread, barred, alive) == 0 {
            return None;
        }
        self.writing = Some((draft.write_id, now));
        Some(draft)
    }

    /// Forgets petitions that are settled or old.
    fn forget(&mut self, now: Moment, record: &Record) {
        let rules = self.rules;
        self.waiting.retain(|_, (came, petition)| {
            let settles = match petition {
                ChangeRequest::Join(_) | ChangeRequest::Depart(_) => true,
                ChangeRequest::Release(_) => rules.numbered_releases,
                ChangeRequest::Change(_) | ChangeRequest::Remove(_) => rules.match_terms,
            };
            now < *came + REQUEST_LIFETIME && !(settles && petition.is_settled(record))
        });
    }

    /// Petitions by what they ask for, as they are to be written to `record`.
    fn batch(&self, record: &Record) -> Batch {
        let mut batch = Batch::default();
        for (_, petition) in self.waiting.values() {
            batch.add(petition, self.rules, record);
        }
        batch
    }

    /// Takes the end of an update: those that it has not added are tried again after a pause.
    pub fn settle(&mut self, now: Moment, write_id: WriteId, outcome: &WriteOutcome) {
        if self.writing.take_if(|(id, _)| *id == write_id).is_none() {
            return;
        }
        let pause = match outcome {
            WriteOutcome::Accepted | WriteOutcome::Conflict(_) => {
                self.pause = FIRST_PAUSE;
                RACE_PAUSE
            }
            WriteOutcome::Unknown | WriteOutcome::Failed => {
                let pause = self.pause;
                self.pause = (pause * 2).min(LONGEST_PAUSE);
                pause
            }
        };
        self.due = now + self.rng.jitter(pause);
    }
}
