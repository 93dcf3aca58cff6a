//! The shared state as this process knows it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use rattanarch_adapter::DecodeError;
use rattanarch_adapter::StoredRecord;
use rattanarch_adapter::read_configuration;
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
use serde_json::Value;

use crate::version::Evacuated;
use crate::version::Snapshot;
use crate::version::Versions;

/// A record and the store's revision of it.
#[derive(Clone, Debug)]
pub(crate) struct KnownRecord {
    pub(crate) record: Rc<Record>,
    pub(crate) revision: u64,
    history: RecordHistory,
}

/// What became of changes of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChangeOutcome {
    /// They are in force.
    Applied,
    /// Another version has come meanwhile than the one that they were asked for.
    Superseded,
    /// They do not make what they say; the whole is to be fetched.
    Mismatch,
}

/// The configuration in force, as the store holds it.
#[derive(Debug, Default)]
struct KnownConfiguration {
    spec: Rc<Value>,
    base: VersionHash,
    /// Bytes that it takes to send.
    size: usize,
    history: ConfigurationHistory,
    /// Whether changes that were told of it did not fit, so that the whole is asked for.
    distrusted: bool,
}

/// Newest configuration, data centres taken out, and records. Versions only rise, wherever they are
/// learned from.
#[derive(Debug, Default)]
pub(crate) struct Knowledge {
    routes: Option<Rc<RouteTable>>,
    configuration: KnownConfiguration,
    evacuated: Rc<Evacuated>,
    records: BTreeMap<ServiceName, KnownRecord>,
    /// Members of the first record that was known of each service.
    initial_members: BTreeMap<ServiceName, BTreeSet<BootId>>,
    /// Whether the store has listed its records, so that a missing one does not exist.
    pub(crate) records_listed: bool,
}

impl Knowledge {
    /// Routes in force; `None` before the first configuration is known.
    pub(crate) fn routes(&self) -> Option<&Rc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Routes in force once requests may be sent on.
    pub(crate) fn routes_in_force(&self) -> Option<&Rc<RouteTable>> {
        self.routes.as_ref().filter(|_| self.is_operator_state_known())
    }

    /// Whether all that operators want is known: requests may be sent on.
    pub(crate) fn is_operator_state_known(&self) -> bool {
        self.routes.is_some() && self.evacuated.revision > 0
    }

    /// Data centres that are out.
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

    /// Members of `service` that were there when this process first knew its record. The others have joined
    /// since, and so were alive.
    pub(crate) fn initial_members(&self, service: &str) -> BTreeSet<BootId> {
        self.initial_members.get(service).cloned().unwrap_or_default()
    }

    /// All records.
    pub(crate) fn records(&self) -> impl Iterator<Item = &Rc<Record>> {
        self.records.values().map(|known| &known.record)
    }

    /// Members of all services, one for each daemon.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.records().flat_map(|record| record.members.values())
    }

    /// Members of all services but the one whose daemon takes datagrams at `own`.
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

    /// Takes a configuration; returns whether it is newer than the one in force.
    ///
    /// # Errors
    /// If it can't be understood; then the one in force stays.
    pub(crate) fn learn_configuration(&mut self, spec: Value) -> Result<bool, DecodeError> {
        let routes = read_configuration(&spec)?;
        if self.routes.as_ref().is_some_and(|known| known.version >= routes.version) {
            return Ok(false);
        }
        let text = spec.to_string();
        let base = VersionHash::from_text(routes.version, &text);
        let known = &mut self.configuration;
        let change = ConfigurationChange::between((known.base, &known.spec), (base, &spec));
        known.history.push(change);
        self.adopt(routes, base, spec, text.len());
        Ok(true)
    }

    /// Takes changes of the configuration that were asked for by one who knew `asked`.
    ///
    /// # Errors
    /// If what they make can't be understood; then the one in force stays, as it does if they do not fit.
    pub(crate) fn learn_configuration_changes(
        &mut self,
        changes: Vec<ConfigurationChange>,
        asked: VersionHash,
    ) -> Result<ChangeOutcome, DecodeError> {
        let known = &mut self.configuration;
        if known.base != asked {
            return Ok(ChangeOutcome::Superseded);
        }
        let Some((base, spec)) = apply_all(&changes, known.base, &known.spec) else {
            return Ok(ChangeOutcome::Mismatch);
        };
        let routes = read_configuration(&spec)?;
        if routes.version != base.version {
            return Ok(ChangeOutcome::Mismatch);
        }
        changes.into_iter().for_each(|change| known.history.push(Some(change)));
        let size = spec.to_string().len();
        self.adopt(routes, base, spec, size);
        Ok(ChangeOutcome::Applied)
    }

    fn adopt(&mut self, routes: RouteTable, base: VersionHash, spec: Value, size: usize) {
        self.routes = Some(Rc::new(routes));
        let known = &mut self.configuration;
        (known.spec, known.base, known.size) = (Rc::new(spec), base, size);
        known.distrusted = false;
    }

    /// Bytes of the configuration in [`Knowledge::newer_than`] `asked`; 0 if it is not newer.
    pub(crate) fn configuration_size(&self, asked: &Versions) -> usize {
        let known = &self.configuration;
        if known.base.version <= asked.configuration {
            return 0;
        }
        known.history.size_since(asked.base(), known.size)
    }

    /// Asks for the whole configuration next: changes of it did not fit.
    pub(crate) fn require_full_configuration(&mut self) {
        self.configuration.distrusted = true;
    }

    /// The configuration in force; its hash is 0 if the whole is to be asked for.
    pub(crate) fn base(&self) -> VersionHash {
        let known = &self.configuration;
        if known.distrusted { VersionHash { hash: 0, ..known.base } } else { known.base }
    }

    /// Takes the data centres that are out; returns whether they are newer.
    pub(crate) fn learn_evacuated(&mut self, now: Moment, evacuated: Evacuated) -> bool {
        if evacuated.revision <= self.evacuated.revision {
            return false;
        }
        let evacuated = evacuated.with_times_from(now, &self.evacuated);
        self.evacuated = Rc::new(evacuated);
        true
    }

    /// Takes a record; returns whether it is newer.
    pub(crate) fn learn_record(&mut self, record: Record, revision: u64) -> bool {
        let newer = self.record(&record.service).is_none_or(|old| old.version < record.version);
        if newer {
            let initial_members = || record.members.keys().copied().collect();
            self.initial_members.entry(record.service.clone()).or_insert_with(initial_members);
            let mut history = RecordHistory::default();
            if let Some(old) = self.records.remove(&record.service) {
                history = old.history;
                history.push_between(&old.record, &record);
            }
            let known = KnownRecord { record: Rc::new(record), revision, history };
            self.records.insert(known.record.service.clone(), known);
        }
        newer
    }

    /// Takes changes of the record of `service` that follow on each other, up to the version at `revision`; returns
    /// whether the record is newer. Changes that don't fit the known version are left alone: it has become another
    /// meanwhile.
    pub(crate) fn learn_changes(
        &mut self,
        service: &str,
        mut changes: Vec<RecordChange>,
        revision: u64,
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
        known.revision = revision;
        changes.into_iter().for_each(|change| known.history.push(change));
        true
    }

    /// Versions of all that is known.
    pub(crate) fn versions(&self) -> Versions {
        let records = self.records().map(|record| (record.service.clone(), record.version));
        Versions {
            configuration: self.configuration.base.version,
            hash: self.base().hash,
            evacuated: self.evacuated.revision,
            records: records.collect(),
        }
    }

    /// What is newer than `asked`.
    pub(crate) fn newer_than(&self, asked: &Versions) -> Snapshot {
        let own = self.versions();
        let theirs = |service: &str| asked.records.get(service).copied().unwrap_or_default();
        let (mut records, mut changes) = (Vec::new(), Vec::new());
        for known in self.records.values() {
            let version = theirs(&known.record.service);
            if version >= known.record.version {
                continue;
            }
            match known.history.since(version) {
                Some(since) => changes.push((known.revision, since)),
                None => records.push((known.revision, StoredRecord::write(&known.record))),
            }
        }
        let configuration = &self.configuration;
        let is_newer = own.configuration > asked.configuration;
        let changes_since = || configuration.history.since(asked.base(), configuration.size);
        let configuration_changes = is_newer.then(changes_since).flatten().unwrap_or_default();
        let sends_whole = is_newer && configuration_changes.is_empty();
        Snapshot {
            configuration: sends_whole.then(|| Value::clone(&configuration.spec)),
            configuration_changes,
            put_off: false,
            evacuated: (own.evacuated > asked.evacuated).then(|| Evacuated::clone(&self.evacuated)),
            records,
            changes,
        }
    }
}
