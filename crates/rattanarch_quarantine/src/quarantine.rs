//! Table of suspects, and the decision on requests.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use rattanarch_types::Moment;

use crate::EndId;
use crate::EndState;
use crate::Fingerprint;
use crate::SuspectReport;
use crate::suspect::Suspect;

/// Most suspects that are kept. The one with the fewest ends goes first, and of those the oldest.
pub const MAX_SUSPECTS: usize = 1_024;

/// Ends that put a request into quarantine.
const QUARANTINE_ENDS: usize = 2;

/// Time from the newest end to the next trial, by the number of proofs. Within the first one, all daemons learn of the
/// quarantine and the upstreams come back, so that the trial doesn't take the last one; the others leave time for a release
/// that mends the upstream.
const TRIAL_PAUSES: [Duration; 4] = [
    Duration::from_secs(5),
    Duration::from_secs(60),
    Duration::from_secs(600),
    Duration::from_secs(3_600),
];

/// Age at which a suspect that is not in quarantine is forgotten.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(3_600);

/// Age at which a suspect that was cleared is forgotten: longer than a daemon is cut off and still tells of its ends.
const CLEARED_LIFETIME: Duration = Duration::from_secs(600);

/// Age at which a request in quarantine is forgotten: twice the longest time between trials, none of which anybody
/// asked for.
const QUARANTINE_LIFETIME: Duration = Duration::from_secs(7_200);

/// Times that a changed suspect is sent to a few daemons: at once, and at the next ticks.
const SENDS: u8 = 4;

/// What is to become of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may run.
    Free,
    /// It is refused; a trial may be due after this time.
    Quarantined(Duration),
    /// It may run alone, at the instance that [`trial_instance`](crate::trial_instance) chooses.
    Trial,
}

/// A change of what becomes of a request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum QuarantineChange {
    /// It is in quarantine.
    #[display("quarantined")]
    Quarantined,
    /// A trial has ended its upstream.
    #[display("proved")]
    Proved,
    /// It was in quarantine and may run again.
    #[display("released")]
    Released,
}

/// Requests that were in flight when upstreams ended, and which of them are in quarantine.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    changes: Vec<(Fingerprint, QuarantineChange)>,
}

impl Quarantine {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of suspects, and of those in quarantine.
    pub fn counts(&self) -> (usize, usize) {
        let quarantined = self.suspects.values().filter(|suspect| is_quarantined(suspect));
        (self.suspects.len(), quarantined.count())
    }

    /// Whether the fingerprint of any suspect has this `head`.
    pub fn has_head(&self, head: u64) -> bool {
        let first = Fingerprint { head, body: 0 };
        let last = Fingerprint { head, body: u64::MAX };
        self.suspects.range(first..=last).next().is_some()
    }

    /// Decides on a request.
    pub fn check(&self, now: Moment, fingerprint: &Fingerprint) -> Verdict {
        match self.suspects.get(fingerprint) {
            Some(suspect) if is_quarantined(suspect) => {
                let left = trial_pause(suspect).saturating_sub(suspect.age(now));
                if left.is_zero() { Verdict::Trial } else { Verdict::Quarantined(left) }
            }
            _ => Verdict::Free,
        }
    }

    /// Records the end `end` of an upstream, at which `requests` were in flight. If `trial` is among them, it alone is
    /// suspected.
    pub fn record_end(
        &mut self,
        now: Moment,
        end: EndId,
        requests: &[Fingerprint],
        trial: Option<Fingerprint>,
    ) {
        match trial.filter(|trial| requests.contains(trial)) {
            Some(trial) => self.update(now, trial, Duration::ZERO, &[(end, EndState::Alone)]),
            None => {
                for request in requests {
                    self.update(now, *request, Duration::ZERO, &[(end, EndState::InFlight)]);
                }
            }
        }
    }

    /// Records that a run of a request was answered; returns whether it was a suspect.
    pub fn record_answer(&mut self, now: Moment, fingerprint: &Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(fingerprint) else { return false };
        let was_quarantined = is_quarantined(suspect);
        if !suspect.clear(now) {
            return false;
        }
        suspect.sends_left = SENDS;
        if was_quarantined {
            self.changes.push((*fingerprint, QuarantineChange::Released));
        }
        true
    }

    /// Applies the report of another daemon; returns whether any of it was new.
    pub fn merge(&mut self, now: Moment, report: &SuspectReport) -> bool {
        let is_known = self.suspects.contains_key(&report.fingerprint);
        if report.ends.is_empty() || !is_known && report.age >= lifetime(&report.ends) {
            return false;
        }
        let before = self.suspects.get(&report.fingerprint).map(|suspect| suspect.ends().to_vec());
        self.update(now, report.fingerprint, report.age, &report.ends);
        let after = self.suspects.get(&report.fingerprint).map(Suspect::ends);
        before.as_deref() != after
    }

    /// Reports that are due to be sent, at most `limit`, those with the most evidence first.
    pub fn take_due(&mut self, now: Moment, limit: usize) -> Vec<SuspectReport> {
        let mut due: Vec<_> =
            self.suspects.iter_mut().filter(|(_, suspect)| suspect.sends_left > 0).collect();
        due.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.end_count()));
        due.truncate(limit);
        let report = |(fingerprint, suspect): (&Fingerprint, &mut Suspect)| {
            suspect.sends_left -= 1;
            suspect.report(now, *fingerprint)
        };
        due.into_iter().map(report).collect()
    }

    /// Reports on at most `limit` suspects, those with the most evidence first.
    pub fn reports(&self, now: Moment, limit: usize) -> Vec<SuspectReport> {
        let mut all: Vec<_> = self.suspects.iter().collect();
        all.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.end_count()));
        all.truncate(limit);
        all.into_iter().map(|(fingerprint, suspect)| suspect.report(now, *fingerprint)).collect()
    }

    /// Hash of the table without ages: tables with the same ends have the same one.
    pub fn summary(&self) -> u64 {
        let ends = self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            suspect.ends().iter().map(move |(end, state)| (fingerprint, *end, *state as u64))
        });
        ends.fold(0, |sum, (fingerprint, end, state)| {
            let entry = fingerprint.head ^ fingerprint.body.rotate_left(21) ^ end.rotate_left(42);
            sum ^ crate::trial::mix(entry.wrapping_add(state))
        })
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Moment) {
        self.suspects.retain(|_, suspect| suspect.age(now) < lifetime(suspect.ends()));
    }

    /// Changes since the last call.
    pub fn take_changes(&mut self) -> Vec<(Fingerprint, QuarantineChange)> {
        std::mem::take(&mut self.changes)
    }

    fn update(
        &mut self,
        now: Moment,
        fingerprint: Fingerprint,
        age: Duration,
        ends: &[(EndId, EndState)],
    ) {
        let mut suspect = self.suspects.get(&fingerprint).cloned().unwrap_or_default();
        let (was_quarantined, proofs) = (is_quarantined(&suspect), suspect.proof_count());
        if !suspect.merge(now, age, ends) {
            return;
        }
        suspect.sends_left = SENDS;
        let change = match is_quarantined(&suspect) {
            true if suspect.proof_count() > proofs => Some(QuarantineChange::Proved),
            true if !was_quarantined => Some(QuarantineChange::Quarantined),
            false if was_quarantined => Some(QuarantineChange::Released),
            _ => None,
        };
        self.changes.extend(change.map(|change| (fingerprint, change)));
        self.suspects.insert(fingerprint, suspect);
        if self.suspects.len() > MAX_SUSPECTS {
            self.evict(now);
        }
    }

    fn evict(&mut self, now: Moment) {
        let evidence =
            |suspect: &Suspect| (suspect.end_count(), std::cmp::Reverse(suspect.age(now)));
        let least = self.suspects.iter().min_by_key(|(_, suspect)| evidence(suspect));
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&least);
        }
    }
}

fn is_quarantined(suspect: &Suspect) -> bool {
    suspect.end_count() >= QUARANTINE_ENDS || suspect.proof_count() > 0
}

fn trial_pause(suspect: &Suspect) -> Duration {
    TRIAL_PAUSES[suspect.proof_count().min(TRIAL_PAUSES.len() - 1)]
}

fn lifetime(ends: &[(EndId, EndState)]) -> Duration {
    match ends.iter().filter(|(_, state)| *state != EndState::Cleared).count() {
        0 => CLEARED_LIFETIME,
        1 => SUSPECT_LIFETIME,
        _ => QUARANTINE_LIFETIME,
    }
}
