//! Shared state as this process knows it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use rattanarch_adapter::DecodeError;
use rattanarch_adapter::StoredRecord;
use rattanarch_adapter::decode_configuration;
use rattanarch_dissemination::ConfigurationChange;
use rattanarch_dissemination::ConfigurationHistory;
use rattanarch_dissemination::RecordHistory;
use rattanarch_dissemination::VersionHash;
use rattanarch_dissemination::apply_all;
use rattanarch_routing::RouteTable;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::RecordChange;
use rattanarch_types::ServiceName;
use rattanarch_types::StorePosition;
use serde_json::Value;

use crate::version::Evacuated;
use crate::version::Snapshot;
use crate::version::Versions;

/// Known record, with where the store was in its history when it was written, and its latest changes.
#[derive(Clone, Debug)]
pub(crate) struct KnownRecord {
    pub(crate) record: Rc<Record>,
    pub(crate) position: StorePosition,
    history: RecordHistory,
}

/// Outcome of applying changes to the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChangeOutcome {
    /// The changed configuration is in force.
    Applied,
    /// The configuration is not the version any more for which the changes were requested.
    Superseded,
    /// The changes do not produce the version that they state; the full configuration has to be fetched.
    Mismatch,
}

/// The configuration in force, as the store holds it.
#[derive(Debug, Default)]
struct KnownConfiguration {
    spec: Rc<Value>,
    base: VersionHash,
    /// Size in bytes when sent to a peer.
    size: usize,
    history: ConfigurationHistory,
    /// Whether a peer's changes did not fit, so that the full configuration is requested next.
    needs_full: bool,
}

/// Newest known configuration, evacuated data centres and records. Versions only increase, whatever the source.
#[derive(Debug, Default)]
pub(crate) struct Knowledge {
    routes: Option<Rc<RouteTable>>,
    configuration: KnownConfiguration,
    evacuated: Rc<Evacuated>,
    /// Newest position at which the store itself showed the set in `evacuated`; never before the position of that set
    /// unless a peer has sent it.
    evacuated_seen: StorePosition,
    records: BTreeMap<ServiceName, KnownRecord>,
    /// Members in the first known record of each service.
    initial_members: BTreeMap<ServiceName, BTreeSet<BootId>>,
    /// When the records were first listed from the store; a record that is not known then did not exist. `None` before.
    pub(crate) listed_at: Option<Moment>,
}

impl Knowledge {
    /// Routes in force; `None` before the first configuration is known.
    pub(crate) fn routes(&self) -> Option<&Rc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Routes in force; `None` while the state set by operators is incomplete, when no request may be forwarded.
    pub(crate) fn routes_in_force(&self) -> Option<&Rc<RouteTable>> {
        self.routes.as_ref().filter(|_| self.is_operator_state_known())
    }

    /// Whether both the configuration and the evacuated data centres are known, so that requests may be forwarded.
    pub(crate) fn is_operator_state_known(&self) -> bool {
        self.routes.is_some() && self.evacuated.position > StorePosition::NONE
    }

    /// Evacuated data centres.
    pub(crate) fn evacuated(&self) -> &Rc<Evacuated> {
        &self.evacuated
    }

    /// Newest known record of `service`.
    pub(crate) fn record(&self, service: &str) -> Option<&Rc<Record>> {
        self.records.get(service).map(|known| &known.record)
    }

    /// Newest known record of `service` and its revision.
    pub(crate) fn known_record(&self, service: &str) -> Option<&KnownRecord> {
        self.records.get(service)
    }

    /// Members in the first record of `service` that this process knew. The others have joined since, and thus were
    /// alive then.
    pub(crate) fn initial_members(&self, service: &str) -> BTreeSet<BootId> {
        self.initial_members.get(service).cloned().unwrap_or_default()
    }

    /// Newest known records of all services.
    pub(crate) fn records(&self) -> impl Iterator<Item = &Rc<Record>> {
        self.records.values().map(|known| &known.record)
    }

    /// Members of all services, one for each daemon.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.records().flat_map(|record| record.members.values())
    }

    /// Members of all services except the one with the datagram address `own`.
    pub(crate) fn other_members(&self, own: SocketAddr) -> impl Iterator<Item = &Member> {
        self.members().filter(move |member| member.peer != own)
    }

    /// Whether a service that is divided by key has slices without an owner.
    pub(crate) fn has_unowned_slices(&self) -> bool {
        self.records().any(|record| record.owners.contains(&None))
    }

    /// Number of daemons: members of all services.
    pub(crate) fn daemon_count(&self) -> usize {
        self.records().map(|record| record.members.len()).sum()
    }

    /// Applies a configuration if it is newer than the one in force; returns whether it is.
    ///
    /// # Errors
    /// If `spec` can't be decoded; then the configuration in force stays.
    pub(crate) fn learn_configuration(&mut self, spec: Value) -> Result<bool, DecodeError> {
        let routes = decode_configuration(&spec)?;
        if self.routes.as_ref().is_some_and(|known| known.version >= routes.version) {
            return Ok(false);
        }
        let text = spec.to_string();
        let base = VersionHash::from_text(routes.version, &text);
        let known = &mut self.configuration;
        let change = ConfigurationChange::between((known.base, &known.spec), (base, &spec));
        known.history.push(change);
        self.set_configuration(routes, base, spec, text.len());
        Ok(true)
    }

    /// Applies configuration changes that were requested relative to `base`.
    ///
    /// # Errors
    /// If the result can't be decoded. The configuration in force stays then, as it does with any outcome but
    /// [`ChangeOutcome::Applied`].
    pub(crate) fn learn_configuration_changes(
        &mut self,
        changes: Vec<ConfigurationChange>,
        base: VersionHash,
    ) -> Result<ChangeOutcome, DecodeError> {
        let known = &mut self.configuration;
        if known.base != base {
            return Ok(ChangeOutcome::Superseded);
        }
        let Some((new_base, spec)) = apply_all(&changes, known.base, &known.spec) else {
            return Ok(ChangeOutcome::Mismatch);
        };
        let routes = decode_configuration(&spec)?;
        if routes.version != new_base.version {
            return Ok(ChangeOutcome::Mismatch);
        }
        changes.into_iter().for_each(|change| known.history.push(Some(change)));
        let size = spec.to_string().len();
        self.set_configuration(routes, new_base, spec, size);
        Ok(ChangeOutcome::Applied)
    }

    fn set_configuration(
        &mut self,
        routes: RouteTable,
        base: VersionHash,
        spec: Value,
        size: usize,
    ) {
        self.routes = Some(Rc::new(routes));
        let known = &mut self.configuration;
        (known.spec, known.base, known.size) = (Rc::new(spec), base, size);
        known.needs_full = false;
    }

    /// Size in bytes of the configuration or its changes in [`Knowledge::newer_than`]; 0 if it is not newer than in
    /// `theirs`.
    pub(crate) fn configuration_size(&self, theirs: &Versions) -> usize {
        let known = &self.configuration;
        if known.base.version <= theirs.configuration {
            return 0;
        }
        known.history.size_since(theirs.base(), known.size)
    }

    /// Has the full configuration fetched next, because a peer's changes to it did not fit.
    pub(crate) fn require_full_configuration(&mut self) {
        self.configuration.needs_full = true;
    }

    /// Version and hash of the configuration in force, as the base of changes; the hash is 0 to request the full
    /// configuration.
    pub(crate) fn base(&self) -> VersionHash {
        let known = &self.configuration;
        if known.needs_full { VersionHash { hash: 0, ..known.base } } else { known.base }
    }

    /// Applies the set of evacuated data centres that the store has shown; returns whether it changes the known set.
    ///
    /// The same set at a later position is no change, so that listings alone cause no traffic between daemons.
    pub(crate) fn learn_evacuated_from_store(&mut self, now: Moment, evacuated: Evacuated) -> bool {
        if evacuated.position <= self.evacuated.position.max(self.evacuated_seen) {
            return false;
        }
        self.evacuated_seen = evacuated.position;
        let first = self.evacuated.position == StorePosition::NONE;
        let changes = first || !self.evacuated.is_same(&evacuated);
        if changes {
            self.set_evacuated(now, evacuated);
        }
        changes
    }

    /// Applies a peer's set of evacuated data centres if its position is newer; returns whether the known set or its
    /// position is newer now.
    ///
    /// A set that the store has overtaken here is rejected. The known one then gets the position at which the store
    /// showed it, so that the peer learns it.
    pub(crate) fn learn_evacuated_from_peer(&mut self, now: Moment, evacuated: Evacuated) -> bool {
        if evacuated.position <= self.evacuated.position {
            return false;
        }
        let overtaken = evacuated.position <= self.evacuated_seen;
        if overtaken && !self.evacuated.is_same(&evacuated) {
            let mut known = Evacuated::clone(&self.evacuated);
            known.position = self.evacuated_seen;
            self.set_evacuated(now, known);
        } else {
            self.set_evacuated(now, evacuated);
        }
        true
    }

    fn set_evacuated(&mut self, now: Moment, evacuated: Evacuated) {
        let evacuated = evacuated.with_times_from(now, &self.evacuated);
        self.evacuated = Rc::new(evacuated);
    }

    /// Applies a record if it is newer than the known one; returns whether it is.
    pub(crate) fn learn_record(&mut self, record: Record, position: StorePosition) -> bool {
        let newer = self.record(&record.service).is_none_or(|old| old.version < record.version);
        if newer {
            let initial_members = || record.members.keys().copied().collect();
            self.initial_members.entry(record.service.clone()).or_insert_with(initial_members);
            let mut history = RecordHistory::default();
            if let Some(old) = self.records.remove(&record.service) {
                history = old.history;
                history.push_between(&old.record, &record);
            }
            let known = KnownRecord { record: Rc::new(record), position, history };
            self.records.insert(known.record.service.clone(), known);
        }
        newer
    }

    /// Applies consecutive changes to the record of `service`, the last of which the store has at `position`; returns
    /// whether the record is newer now. Changes that do not fit the known version are ignored: another source has
    /// changed it meanwhile.
    pub(crate) fn learn_changes(
        &mut self,
        service: &str,
        mut changes: Vec<RecordChange>,
        position: StorePosition,
    ) -> bool {
        let Some(known) = self.records.get_mut(service) else { return false };
        changes.retain(|change| change.to > known.record.version);
        if changes.is_empty() {
            return false;
        }
        let older = Record::clone(&known.record);
        let newer = changes.iter().try_fold(older, |record, change| change.apply(record));
        let Some(newer) = newer else { return false };
        known.record = Rc::new(newer);
        known.position = position;
        changes.into_iter().for_each(|change| known.history.push(change));
        true
    }

    /// Versions of the whole known state.
    pub(crate) fn versions(&self) -> Versions {
        let records = self.records().map(|record| (record.service.clone(), record.version));
        Versions {
            configuration: self.configuration.base.version,
            hash: self.base().hash,
            evacuated: self.evacuated.position,
            records: records.collect(),
        }
    }

    /// State that is newer here than in `theirs`.
    pub(crate) fn newer_than(&self, theirs: &Versions) -> Snapshot {
        let own = self.versions();
        let their_version =
            |service: &str| theirs.records.get(service).copied().unwrap_or_default();
        let (mut records, mut changes) = (Vec::new(), Vec::new());
        for known in self.records.values() {
            let version = their_version(&known.record.service);
            if version >= known.record.version {
                continue;
            }
            match known.history.since(version) {
                Some(newer) => changes.push((known.position, newer)),
                None => records.push((known.position, StoredRecord::encode(&known.record))),
            }
        }
        let configuration = &self.configuration;
        let is_newer = own.configuration > theirs.configuration;
        let changes_since = || configuration.history.since(theirs.base(), configuration.size);
        let configuration_changes = is_newer.then(changes_since).flatten().unwrap_or_default();
        let sends_full = is_newer && configuration_changes.is_empty();
        Snapshot {
            configuration: sends_full.then(|| Value::clone(&configuration.spec)),
            configuration_changes,
            put_off: false,
            evacuated: (own.evacuated > theirs.evacuated)
                .then(|| Evacuated::clone(&self.evacuated)),
            records,
            changes,
            boot: 0,
        }
    }
}
