//! Writes ownership records back after the store was restored from an older copy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rattanarch_adapter::StoredRecord;
use rattanarch_ownership::Node;
use rattanarch_ownership::WriteOutcome;
use rattanarch_process::random;
use rattanarch_process::random_fraction;
use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::ServiceName;
use rattanarch_types::StorePosition;
use rattanarch_types::restored_version;
use tokio::task::JoinSet;

use crate::control;
use crate::process::Shared;
use crate::process::records::is_outdated;
use crate::process::records::learn_record;
use crate::process::records::outcome_name;
use crate::process::records::put;
use crate::process::store_relay::StoreCall;
use crate::process::store_relay::StoreReply;
use crate::process::store_relay::call_store;

/// Interval of checks whether the store has been restored.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest random delay before a record is written back. The first daemon to write usually spares the others the call.
const MAX_STAGGER: Duration = Duration::from_millis(300);

/// Timeout of the queries to members for newer records: two round trips of a busy machine.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// Writes each record back that is known from an earlier era than the store's, as long as the process lives.
pub(crate) async fn restore_records(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if outdated_services(&shared).is_empty() {
            continue;
        }
        tokio::time::sleep(MAX_STAGGER.mul_f64(random_fraction())).await;
        for service in outdated_services(&shared) {
            restore_record(&shared, service).await;
        }
    }
}

/// Services whose newest known record is of an earlier era than the store's.
fn outdated_services(shared: &Shared) -> Vec<ServiceName> {
    let knowledge = shared.knowledge.borrow();
    let outdated = knowledge.records().filter(|record| is_outdated(shared, record));
    outdated.map(|record| record.service.clone()).collect()
}

/// Writes the newest record of `service` that any member knows back to the store, unless another daemon has done so.
async fn restore_record(shared: &Rc<Shared>, service: ServiceName) {
    let Some((stored, position)) = read(shared, &service).await else { return };
    let is_complete = query_members(shared, &service, stored.as_ref()).await;
    let Some(known) = shared.knowledge.borrow().record(&service).cloned() else { return };
    if !is_outdated(shared, &known) {
        return;
    }
    let mut record = Record::clone(&known);
    record.version = restored_version(record.version, shared.store.era());
    record.write_id = random();
    if !is_complete {
        // Members of lost versions may hold slices under fences above those in this record.
        record.restored = record.version;
        record = record.with_fences();
    }
    let outcome = put(shared, &record, position).await;
    log::warn!(service:% = service, version = record.version, known = known.version,
        stored = stored.map_or(0, |record| record.version), complete = is_complete,
        outcome:% = outcome_name(&outcome); "record written back after a restore of the store");
    if outcome == WriteOutcome::Accepted {
        control::push_digest_to_members(shared, &record);
    }
}

/// Reads and learns the record of `service`, with where the store was in its history when it was written; `None` if the
/// store can't be read.
async fn read(
    shared: &Rc<Shared>,
    service: &ServiceName,
) -> Option<(Option<Record>, StorePosition)> {
    let call = StoreCall::Read { service: service.clone() };
    match call_store(shared, &call).await {
        Ok(StoreReply::Read(None)) => Some((None, StorePosition::NONE)),
        Ok(StoreReply::Read(Some(stored))) => match StoredRecord::decode(&stored.spec) {
            Ok(record) => {
                learn_record(shared, record.clone(), stored.position, None);
                Some((Some(record), stored.position))
            }
            Err(error) => {
                log::error!(service:% = service, reason:% = error; "record malformed");
                None
            }
        },
        Ok(reply) => {
            log::error!(reply:? = reply; "unexpected store response to a read");
            None
        }
        // `record_store_result` has logged it.
        Err(_) => None,
    }
}

/// Queries the members in the newest known record and in the `stored` one for newer versions. Returns whether all
/// members of the newest known record have responded, so that no version is lost that any of them acts on.
async fn query_members(
    shared: &Rc<Shared>,
    service: &ServiceName,
    stored: Option<&Record>,
) -> bool {
    let known = shared.knowledge.borrow().record(service).cloned();
    let members = known.iter().flat_map(|record| &record.members);
    let members = members.chain(stored.into_iter().flat_map(|record| &record.members));
    let own = shared.settings.listen.peers;
    let addresses: BTreeMap<BootId, SocketAddr> =
        members.map(|(id, member)| (*id, member.caller)).collect();
    let mut queries = JoinSet::new();
    for (id, peer) in addresses.into_iter().filter(|(_, peer)| *peer != own) {
        let shared = Rc::clone(shared);
        queries.spawn_local(async move {
            let query = control::query_state(&shared, peer);
            let boot = tokio::time::timeout(QUERY_TIMEOUT, query).await;
            boot.ok().flatten().filter(|boot| *boot == id)
        });
    }
    let mut responded: Vec<BootId> = queries.join_all().await.into_iter().flatten().collect();
    responded.extend(shared.control.borrow().node.as_ref().map(Node::me));
    let newest = shared.knowledge.borrow().record(service).cloned();
    newest.is_some_and(|record| record.members.keys().all(|id| responded.contains(id)))
}
