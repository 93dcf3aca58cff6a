//! Learns configuration, evacuations and ownership records, and reads and writes records.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

use rattanarch_adapter::DecodeError;
use rattanarch_adapter::StoreError;
use rattanarch_adapter::StoredRecord;
use rattanarch_dissemination::ConfigurationChange;
use rattanarch_dissemination::VersionHash;
use rattanarch_ownership::Event;
use rattanarch_ownership::WriteOutcome;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::RecordChange;
use rattanarch_types::SliceId;
use rattanarch_types::StorePosition;
use rattanarch_types::era_of;
use rattanarch_types::version_before;
use serde_json::Value;

use crate::control;
use crate::process::Shared;
use crate::process::store_relay::StoreCall;
use crate::process::store_relay::StoreReply;
use crate::process::store_relay::Stored;
use crate::process::store_relay::call_store;
use crate::version::ChangeOutcome;
use crate::version::Evacuated;

/// Learns a configuration from `source`.
pub(crate) fn learn_configuration(shared: &Rc<Shared>, spec: Value, source: &str) {
    let learned = shared.knowledge.borrow_mut().learn_configuration(spec);
    react_to_configuration(shared, learned, source);
}

/// Learns changes of the configuration, which a peer sent in response to a request that named the version `base`.
/// Returns false if they don't match the known configuration.
pub(crate) fn learn_configuration_changes(
    shared: &Rc<Shared>,
    changes: Vec<ConfigurationChange>,
    base: VersionHash,
) -> bool {
    let result = shared.knowledge.borrow_mut().learn_configuration_changes(changes, base);
    let outcome = match result {
        Ok(ChangeOutcome::Applied) => "taken",
        Ok(ChangeOutcome::Superseded) => "overtaken",
        Ok(ChangeOutcome::Mismatch) | Err(_) => "misfit",
    };
    shared.meters.configuration_change(outcome);
    react_to_configuration(shared, result.map(|r| r == ChangeOutcome::Applied), "peer's changes");
    outcome != "misfit"
}

/// Acts on a configuration that has been learned (`true`), was not newer (`false`) or is invalid.
fn react_to_configuration(shared: &Rc<Shared>, learned: Result<bool, DecodeError>, source: &str) {
    match learned {
        Ok(false) => {}
        Ok(true) => {
            if let Some(routes) = shared.knowledge.borrow().routes() {
                let rules = routes.rule_count();
                log::info!(version = routes.version, rules = rules, source:% = source;
                    "configuration in force");
            }
            control::push_digest(shared);
            control::maintain(shared);
            shared.state_changed.notify_waiters();
        }
        Err(error) => {
            log::warn!(reason:% = error, source:% = source; "configuration malformed");
        }
    }
}

/// Learns the evacuated data centres that the store has at a position in its history.
pub(crate) fn learn_evacuated_from_store(shared: &Rc<Shared>, evacuated: Evacuated) {
    let now = shared.now();
    let learned = shared.knowledge.borrow_mut().learn_evacuated_from_store(now, evacuated);
    react_to_evacuated(shared, learned, "store");
}

/// Learns the evacuated data centres that a peer knows.
pub(crate) fn learn_evacuated_from_peer(shared: &Rc<Shared>, evacuated: Evacuated) {
    if evacuated.position.era().is_none() {
        log::warn!(position:? = evacuated.position; "peer's evacuations malformed");
        return;
    }
    observe_era(shared, evacuated.position);
    let now = shared.now();
    let learned = shared.knowledge.borrow_mut().learn_evacuated_from_peer(now, evacuated);
    react_to_evacuated(shared, learned, "peer");
}

/// Acts on the evacuated data centres from `source` if they have been `learned`, or confirmed at a later position.
fn react_to_evacuated(shared: &Rc<Shared>, learned: bool, source: &str) {
    if !learned {
        return;
    }
    let evacuated = Rc::clone(shared.knowledge.borrow().evacuated());
    let names: Vec<&str> = evacuated.names().map(String::as_str).collect();
    let position = evacuated.position;
    log::info!(revision = position.revision(), era:? = position.era(), out:% = names.join(","), source:% = source;
        "data centres taken out");
    control::push_digest(shared);
    control::maintain(shared);
    shared.state_changed.notify_waiters();
}

/// Learns a record. `read_sent` is the time at which a read was sent that the store has just answered with it.
pub(crate) fn learn_record(
    shared: &Rc<Shared>,
    record: Record,
    position: StorePosition,
    read_sent: Option<Moment>,
) {
    observe_era(shared, position);
    let service = record.service.clone();
    let newer = shared.knowledge.borrow_mut().learn_record(record, position);
    react_to_record(shared, &service, newer, read_sent);
}

/// Notes the era of a position that a peer may have sent, which this daemon may not have heard from the store yet.
fn observe_era(shared: &Shared, position: StorePosition) {
    if let Some(era) = position.era() {
        shared.store.observe_era(era, "peer");
    }
}

/// Learns changes of a record, after which the store was at `position` in its history.
pub(crate) fn learn_record_changes(
    shared: &Rc<Shared>,
    changes: Vec<RecordChange>,
    position: StorePosition,
) {
    observe_era(shared, position);
    let Some(service) = changes.first().map(|change| change.service.clone()) else { return };
    let newer = shared.knowledge.borrow_mut().learn_changes(&service, changes, position);
    if !newer {
        // Another peer was faster; what is still missing is fetched after the next digest that shows it.
        log::debug!(service:% = service, revision = position.revision(); "record changes not applied");
    }
    react_to_record(shared, &service, newer, None);
}

/// Acts on a received record of `service`, `newer` than the one known before or not.
fn react_to_record(shared: &Rc<Shared>, service: &str, newer: bool, read_sent: Option<Moment>) {
    let Some(known) = shared.knowledge.borrow().record(service).cloned() else { return };
    if newer {
        shared.follower.mark_group_stale();
        remove_former_peers(shared);
        shared.state_changed.notify_waiters();
    }
    if newer || read_sent.is_some() {
        control::handle_newer_record(shared, &known, read_sent);
    }
}

/// Removes daemons that are no longer in any record.
fn remove_former_peers(shared: &Shared) {
    let knowledge = shared.knowledge.borrow();
    let known: HashSet<SocketAddr> = knowledge.members().map(|member| member.caller).collect();
    shared.peers.retain(|address| known.contains(&address));
}

/// Reads the record of this daemon's service.
pub(crate) async fn read_record(shared: Rc<Shared>) {
    let sent = shared.now();
    let service = shared.settings.service.clone();
    let call = StoreCall::Read { service: service.clone() };
    match call_store(&shared, &call).await {
        Ok(StoreReply::Read(Some(stored))) => match StoredRecord::decode(&stored.spec) {
            Ok(record) => learn_record(&shared, record, stored.position, Some(sent)),
            Err(error) => log::error!(reason:% = error; "record malformed"),
        },
        Ok(StoreReply::Read(None)) => {
            shared.knowledge.borrow_mut().listed_at.get_or_insert(sent);
            if shared.knowledge.borrow().record(&service).is_some() {
                // The store has lost the record; see `restore`.
                return;
            }
            let slices = shared.upstream.state.borrow().serving.record.slice_count();
            let record = first_record(&shared, slices);
            control::step(&shared, Event::Record { record, read_sent: Some(sent) });
        }
        Ok(reply) => log::error!(reply:? = reply; "unexpected store response to a read"),
        // `record_store_result` has logged it.
        Err(_) => {}
    }
}

/// The record of this daemon's service, with `slices` slices, before it is first written.
pub(crate) fn first_record(shared: &Shared, slices: SliceId) -> Record {
    let mut record = Record::new(shared.settings.service.clone(), slices);
    record.version = version_before(shared.store.era());
    record.with_fences()
}

/// Writes the node's `record` over the version that it was derived from.
pub(crate) async fn write_record(shared: Rc<Shared>, record: Record) {
    let write_id = record.write_id;
    let outcome = write(&shared, &record).await;
    control::step(&shared, Event::Written { write_id, outcome });
    control::maintain(&shared);
}

/// Writes `record`, a batch of the change requests of several nodes, over the version that it was derived from.
pub(crate) async fn write_batch(shared: Rc<Shared>, record: Record) {
    let outcome = write(&shared, &record).await;
    let now = shared.now();
    shared.control.borrow_mut().batcher.settle(now, record.write_id, &outcome);
}

async fn write(shared: &Rc<Shared>, record: &Record) -> WriteOutcome {
    let change = change_summary(shared, record);
    let outcome = match stored_position(shared, record) {
        Err(newer) => WriteOutcome::Conflict(Record::clone(&newer)),
        Ok(position) if is_outdated(shared, record) => {
            log::info!(version = record.version, revision = position.revision();
                "record not written: the store was restored");
            WriteOutcome::Failed
        }
        Ok(position) => put(shared, record, position).await,
    };
    shared.meters.record_write(outcome_name(&outcome));
    log::info!(version = record.version, members = record.members.len(), change:% = change,
        outcome:% = outcome_name(&outcome); "record written");
    outcome
}

/// Summary of what `record` changes in the newest known one.
fn change_summary(shared: &Shared, record: &Record) -> String {
    let known = shared.knowledge.borrow().record(&record.service).cloned().unwrap_or_default();
    let joined = record.members.keys().filter(|id| !known.members.contains_key(id)).count();
    let left = known.members.keys().filter(|id| !record.members.contains_key(id)).count();
    let changed = |id: &BootId, member: &Member| {
        known.members.get(id).is_some_and(|old| old.witnesses != member.witnesses)
    };
    let witnessed = record.members.iter().filter(|(id, member)| changed(id, member)).count();
    let moved = record.owners.iter().zip(&known.owners).filter(|(new, old)| new != old).count();
    format!("joined {joined}, left {left}, witnesses {witnessed}, slices {moved}")
}

pub(crate) fn outcome_name(outcome: &WriteOutcome) -> &'static str {
    match outcome {
        WriteOutcome::Accepted => "accepted",
        WriteOutcome::Conflict(_) => "conflict",
        WriteOutcome::Unknown => "unknown",
        WriteOutcome::Failed => "not taken",
    }
}

/// Whether `record` is of an earlier era than the store: then the newest known one has to be written back first.
pub(crate) fn is_outdated(shared: &Shared, record: &Record) -> bool {
    era_of(record.version) < Some(shared.store.era())
}

/// Where the store was in its history when the record was written that `record` replaces; [`StorePosition::NONE`] if
/// there is none.
///
/// # Errors
/// The newest known record, if it is no older than `record`.
fn stored_position(shared: &Shared, record: &Record) -> Result<StorePosition, Rc<Record>> {
    let knowledge = shared.knowledge.borrow();
    let Some(known) = knowledge.known_record(&record.service) else {
        return Ok(StorePosition::NONE);
    };
    if known.record.version >= record.version {
        return Err(Rc::clone(&known.record));
    }
    Ok(known.position)
}

/// Writes `record` over the one that the store has had since `position`.
pub(crate) async fn put(
    shared: &Rc<Shared>,
    record: &Record,
    position: StorePosition,
) -> WriteOutcome {
    let service = record.service.clone();
    let call = StoreCall::Write { service, position, spec: StoredRecord::encode(record) };
    match call_store(shared, &call).await {
        Ok(StoreReply::Accepted(position)) => {
            let before = shared.knowledge.borrow().record(&record.service).cloned();
            learn_record(shared, record.clone(), position, None);
            let empty = Rc::new(Record::default());
            control::push_digest_to_affected(shared, record, &before.unwrap_or(empty));
            WriteOutcome::Accepted
        }
        Ok(StoreReply::Conflict(Some(stored))) => conflict(shared, &stored),
        Ok(StoreReply::Conflict(None)) => resolve_conflict(shared, record).await,
        Ok(reply) => {
            log::error!(reply:? = reply; "unexpected store response to a write");
            WriteOutcome::Unknown
        }
        Err(error) => failed(&error),
    }
}

/// Reads the record that overtook `record`, after a conflict whose response does not contain it.
async fn resolve_conflict(shared: &Rc<Shared>, record: &Record) -> WriteOutcome {
    let call = StoreCall::Read { service: record.service.clone() };
    match call_store(shared, &call).await {
        Ok(StoreReply::Read(Some(stored))) => conflict(shared, &stored),
        Ok(_) => WriteOutcome::Failed,
        Err(error) => failed(&error),
    }
}

fn conflict(shared: &Rc<Shared>, stored: &Stored) -> WriteOutcome {
    match StoredRecord::decode(&stored.spec) {
        Ok(record) => {
            learn_record(shared, record.clone(), stored.position, None);
            WriteOutcome::Conflict(record)
        }
        Err(error) => {
            log::error!(reason:% = error; "record malformed");
            WriteOutcome::Unknown
        }
    }
}

fn failed(error: &StoreError) -> WriteOutcome {
    match error {
        StoreError::NotExecuted(_) => WriteOutcome::Failed,
        StoreError::OutcomeUnknown(_) | StoreError::HistoryGone | StoreError::Malformed(_) => {
            WriteOutcome::Unknown
        }
    }
}
