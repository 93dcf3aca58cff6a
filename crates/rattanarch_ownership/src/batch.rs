//! Requested changes of the record that are written in one update.

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

/// Requested changes, by kind.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    joins: Vec<JoinRequest>,
    witness_changes: Vec<WitnessChange>,
    removals: Vec<Removal>,
    releases: Vec<ReleaseRequest>,
    departures: Vec<Departure>,
}

impl Batch {
    /// Adds a request, in the form in which it is written to `record`.
    pub(crate) fn add(&mut self, request: &ChangeRequest, rules: Rules, record: &Record) {
        match request {
            ChangeRequest::Join(request) => {
                self.joins.push(relax_join(request, rules, record));
            }
            ChangeRequest::Release(request) => {
                self.releases.push(relax_release(request, rules, record));
            }
            ChangeRequest::Depart(departure) => self.departures.push(departure.clone()),
            ChangeRequest::Change(change) => {
                self.witness_changes.push(relax_witness_change(change, rules, record));
            }
            ChangeRequest::Remove(removal) => {
                self.removals.push(relax_removal(removal, rules, record));
            }
        }
    }

    /// Applies to `draft` those that are still valid. Returns the number of changes applied.
    pub(crate) fn apply(
        &self,
        draft: &mut Record,
        spread: Spread,
        excluded: &BTreeSet<BootId>,
        alive: &BTreeSet<BootId>,
    ) -> usize {
        let releasing =
            self.releases.iter().filter(|request| request.excluded).map(|request| request.id);
        let excluded: BTreeSet<BootId> = excluded.iter().copied().chain(releasing).collect();
        let removing = self.removals.iter().flat_map(|removal| removal.members.keys());
        let avoided: BTreeSet<BootId> = excluded.iter().chain(removing).copied().collect();
        // Before removals: a new boot takes over the slices of its instance's previous one, which
        // might be removed as well.
        let joined = apply_joins(draft, &self.joins, &avoided, alive);
        // Before removals: a member that has found other witnesses is alive, and keeps its place
        // under its new term.
        let changed = apply_witness_changes(draft, &self.witness_changes);
        let removed = apply_removals(draft, &self.removals, spread, &excluded);
        let released = apply_releases(draft, &self.releases, spread, &excluded);
        let departed = apply_departures(draft, &self.departures, spread, &excluded);
        joined + changed + removed + released + departed
    }
}

/// Drops what a disabled rule requires of a join: that its node has verified the end of the
/// previous boot that it replaces.
fn relax_join(request: &JoinRequest, rules: Rules, record: &Record) -> JoinRequest {
    let mut request = request.clone();
    if !rules.match_previous_boot {
        request.old = previous_boot(record, &request.member.instance);
        request.ended = true;
    }
    request
}

/// Drops what a disabled rule requires of a release: the member's current number of releases.
fn relax_release(request: &ReleaseRequest, rules: Rules, record: &Record) -> ReleaseRequest {
    let mut request = request.clone();
    if !rules.numbered_releases {
        let member = record.members.get(&request.id);
        request.number = member.map(|member| member.releases).unwrap_or_default();
    }
    request
}

/// Drops what a disabled rule requires of a change of witnesses: the member's current term.
fn relax_witness_change(change: &WitnessChange, rules: Rules, record: &Record) -> WitnessChange {
    let mut change = change.clone();
    if !rules.match_terms {
        let member = record.members.get(&change.id);
        change.from = member.map_or(change.from, |member| member.term);
    }
    change
}

/// Drops what a disabled rule requires of a removal: the members' current terms.
fn relax_removal(removal: &Removal, rules: Rules, record: &Record) -> Removal {
    let mut removal = removal.clone();
    if !rules.match_terms {
        for (id, term) in &mut removal.members {
            *term = record.members.get(id).map_or(*term, |member| member.term);
        }
    }
    removal
}
