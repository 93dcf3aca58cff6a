//! Petitions that go into one update.

use std::collections::BTreeSet;

use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Record;

use crate::ChangeRequest;
use crate::Departure;
use crate::JoinRequest;
use crate::ReleaseRequest;
use crate::Removal;
use crate::Rules;
use crate::WitnessChange;
use crate::apply_departures;
use crate::apply_joins;
use crate::apply_releases;
use crate::apply_removals;
use crate::apply_witness_changes;
use crate::joining::previous_boot;

/// What nodes ask for, by its kind.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    applications: Vec<JoinRequest>,
    changes: Vec<WitnessChange>,
    removals: Vec<Removal>,
    surrenders: Vec<ReleaseRequest>,
    departures: Vec<Departure>,
}

impl Batch {
    /// Adds a petition, as it is to be written to `record`.
    pub(crate) fn add(&mut self, petition: &ChangeRequest, rules: Rules, record: &Record) {
        match petition {
            ChangeRequest::Join(application) => {
                self.applications.push(joining(application, rules, record));
            }
            ChangeRequest::Release(surrender) => {
                self.surrenders.push(giving(surrender, rules, record));
            }
            ChangeRequest::Depart(departure) => self.departures.push(departure.clone()),
            ChangeRequest::Change(change) => self.changes.push(changing(change, rules, record)),
            ChangeRequest::Remove(removal) => self.removals.push(removing(removal, rules, record)),
        }
    }

    /// Carries them out in `draft`, as far as they still may be; returns how many.
    pub(crate) fn apply(
        &self,
        draft: &mut Record,
        spread: Spread,
        barred: &BTreeSet<BootId>,
        alive: &BTreeSet<BootId>,
    ) -> usize {
        let givers = self.surrenders.iter().filter(|surrender| surrender.barred).map(|s| s.id);
        let barred: BTreeSet<BootId> = barred.iter().copied().chain(givers).collect();
        let ending = self.removals.iter().flat_map(|removal| removal.members.keys());
        let unfit: BTreeSet<BootId> = barred.iter().chain(ending).copied().collect();
        // A newer life takes its older one's place and slices before that one would be taken out.
        let joined = apply_joins(draft, &self.applications, &unfit, alive);
        // One that has found other witnesses is alive.
        let changed = apply_witness_changes(draft, &self.changes);
        let removed = apply_removals(draft, &self.removals, spread, &barred);
        let released = apply_releases(draft, &self.surrenders, spread, &barred);
        let departed = apply_departures(draft, &self.departures, spread, &barred);
        joined + changed + removed + released + departed
    }
}

/// The application without the rule that it lacks.
fn joining(application: &JoinRequest, rules: Rules, record: &Record) -> JoinRequest {
    let mut application = application.clone();
    if !rules.match_previous_boot {
        application.old = previous_boot(record, &application.member.instance);
        application.ended = true;
    }
    application
}

/// The surrender without the rule that it lacks.
fn giving(surrender: &ReleaseRequest, rules: Rules, record: &Record) -> ReleaseRequest {
    let mut surrender = surrender.clone();
    if !rules.numbered_releases {
        let giver = record.members.get(&surrender.id);
        surrender.number = giver.map(|giver| giver.releases).unwrap_or_default();
    }
    surrender
}

/// The change of witnesses without the rule that it lacks.
fn changing(change: &WitnessChange, rules: Rules, record: &Record) -> WitnessChange {
    let mut change = change.clone();
    if !rules.match_terms {
        let member = record.members.get(&change.id);
        change.from = member.map_or(change.from, |member| member.term);
    }
    change
}

/// The removal without the rule that it lacks.
fn removing(removal: &Removal, rules: Rules, record: &Record) -> Removal {
    let mut removal = removal.clone();
    if !rules.match_terms {
        for (id, term) in &mut removal.members {
            *term = record.members.get(id).map_or(*term, |member| member.term);
        }
    }
    removal
}
