//! Lists and watches the store's objects of one kind.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rattanarch_adapter::Change;
use rattanarch_adapter::Changes;
use rattanarch_adapter::Freshness;
use rattanarch_adapter::Listing;
use rattanarch_adapter::StoreError;
use rattanarch_adapter::StoredObject;
use rattanarch_adapter::StoredRecord;
use rattanarch_adapter::kind;
use rattanarch_process::random_fraction;
use rattanarch_types::DataCentreName;
use rattanarch_types::StorePosition;

use crate::process::Shared;
use crate::process::records::learn_configuration;
use crate::process::records::learn_evacuated_from_store;
use crate::process::records::learn_record;
use crate::version::Evacuated;

/// Longest wait of one watch call: long, since each call has a price.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// First and longest backoff after a failed call. With the longest, a store that is reachable again is still noticed
/// within a second.
pub(crate) const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Shortest interval between two watch calls for ownership records, in which changes collect: members that join or
/// leave together cause many, and each call has a price.
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(100);

/// Longest such interval: the store drops its history of changes after some 20 s, and the list that is needed then
/// costs more.
const MAX_RECORD_INTERVAL: Duration = Duration::from_secs(5);

/// Total rate of watch responses for records if every daemon watches: a fiftieth of the reads that the smallest store
/// sustains. Daemons that a change affects at once receive it from its writer.
const RECORD_RESPONSES_PER_SECOND: f64 = 40.0;

/// Kinds of objects that a follower watches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WatchedKind {
    /// The operators' configuration.
    Configuration,
    /// Evacuated data centres.
    Evacuations,
    /// Ownership records.
    Records,
}

impl WatchedKind {
    fn kind(self) -> &'static str {
        match self {
            Self::Configuration => kind::CONFIGURATION,
            Self::Evacuations => kind::EVACUATION,
            Self::Records => kind::RECORD,
        }
    }

    /// How recent the store's answers have to be. Records may be stale: the daemons that a change affects receive it
    /// from its writer and the others by gossip, and versions only increase.
    fn freshness(self) -> Freshness {
        match self {
            Self::Configuration | Self::Evacuations => Freshness::Current,
            Self::Records => Freshness::Stale,
        }
    }
}

/// Lists and watches objects of one kind until the task is dropped.
pub(crate) async fn list_and_watch(shared: Rc<Shared>, watched: WatchedKind) {
    let mut backoff = INITIAL_BACKOFF;
    let mut freshness = watched.freshness();
    loop {
        await_store(&shared, watched).await;
        match shared.store.list(watched.kind(), freshness).await {
            Ok(listing) => {
                shared.record_store_result(true, &"");
                let listed = Listed::from(&listing);
                apply_listing(&shared, watched, listing);
                if watch(&shared, watched, listed).await {
                    backoff = INITIAL_BACKOFF;
                } else {
                    // Another stale list could again be older than the history that the store keeps.
                    freshness = Freshness::Current;
                    back_off(&mut backoff).await;
                }
            }
            Err(error) => {
                record_failure(&shared, watched, &error);
                back_off(&mut backoff).await;
            }
        }
    }
}

/// Records a failed call. Only those for the configuration count against the follower role: while the store is
/// unreachable, the other kinds wait for them.
fn record_failure(shared: &Rc<Shared>, watched: WatchedKind, error: &StoreError) {
    shared.record_store_result(false, error);
    if watched == WatchedKind::Configuration {
        shared.follower.store_failed(shared);
    }
}

/// Lets the other kinds wait until the store answers for the configuration: each call has a price, even one that is
/// refused.
async fn await_store(shared: &Rc<Shared>, watched: WatchedKind) {
    while watched != WatchedKind::Configuration && shared.is_store_unreachable() {
        tokio::time::sleep(INITIAL_BACKOFF).await;
    }
}

/// Reads all ownership records and learns them.
///
/// # Errors
/// See [`StoreError`].
pub(crate) async fn list_records(
    shared: &Rc<Shared>,
    freshness: Freshness,
) -> Result<(), StoreError> {
    let listing = shared.store.list(kind::RECORD, freshness).await?;
    shared.record_store_result(true, &"");
    apply_listing(shared, WatchedKind::Records, listing);
    Ok(())
}

/// Interval between two watch calls for ownership records in a fleet of `daemons`.
fn record_interval(daemons: usize) -> Duration {
    let interval = Duration::from_secs_f64(daemons as f64 / RECORD_RESPONSES_PER_SECOND);
    interval.clamp(MIN_RECORD_INTERVAL, MAX_RECORD_INTERVAL)
}

/// Sleeps for `backoff` with a jitter of 25 percent either way, and doubles it.
pub(crate) async fn back_off(backoff: &mut Duration) {
    tokio::time::sleep(backoff.mul_f64(0.75 + random_fraction() / 2.0)).await;
    *backoff = (*backoff * 2).min(MAX_BACKOFF);
}

/// What a listing and the watches that continue it have shown so far.
struct Listed {
    /// Names of the objects of the kind.
    names: BTreeSet<String>,
    /// Position from which the next watch continues.
    position: StorePosition,
}

impl From<&Listing> for Listed {
    fn from(listing: &Listing) -> Self {
        let names = listing.objects.iter().map(|object| object.name.clone()).collect();
        Self { names, position: listing.position }
    }
}

impl Listed {
    /// Applies the changes of one response, in order.
    fn apply(&mut self, changes: &Changes) {
        for Change { object, removed } in &changes.changes {
            if *removed {
                self.names.remove(&object.name);
            } else {
                self.names.insert(object.name.clone());
            }
        }
        self.position = changes.position;
    }
}

/// Applies changes after those in `listed` until the store no longer has them; returns whether it answered any call.
async fn watch(shared: &Rc<Shared>, watched: WatchedKind, mut listed: Listed) -> bool {
    let mut backoff = INITIAL_BACKOFF;
    let mut answered = false;
    loop {
        await_store(shared, watched).await;
        let (kind, freshness) = (watched.kind(), watched.freshness());
        match shared.store.watch(kind, listed.position, WATCH_WAIT, freshness).await {
            Ok(changes) => {
                shared.record_store_result(true, &"");
                backoff = INITIAL_BACKOFF;
                answered = true;
                listed.apply(&changes);
                apply_changes(shared, watched, changes, &listed);
                if watched == WatchedKind::Records {
                    let daemons = shared.knowledge.borrow().daemon_count();
                    tokio::time::sleep(record_interval(daemons)).await;
                }
            }
            Err(StoreError::HistoryGone) => return answered,
            Err(error) => {
                record_failure(shared, watched, &error);
                back_off(&mut backoff).await;
            }
        }
    }
}

fn apply_listing(shared: &Rc<Shared>, watched: WatchedKind, listing: Listing) {
    match watched {
        WatchedKind::Configuration => {
            for object in listing.objects {
                apply_configuration(shared, object);
            }
        }
        WatchedKind::Evacuations => {
            let names = listing.objects.into_iter().map(|object| object.name);
            learn_evacuated_from_store(shared, Evacuated::new(listing.position, names));
        }
        WatchedKind::Records => {
            shared.knowledge.borrow_mut().listed_at.get_or_insert(shared.now());
            for object in listing.objects {
                apply_record(shared, &object);
            }
            crate::control::maintain(shared);
        }
    }
}

/// Applies the changes of one response, which led to what is in `listed`.
fn apply_changes(shared: &Rc<Shared>, watched: WatchedKind, changes: Changes, listed: &Listed) {
    if watched == WatchedKind::Evacuations {
        if !changes.changes.is_empty() {
            // A response may hold several changes under one position: only their result is as of that position.
            let names: BTreeSet<DataCentreName> = listed.names.clone();
            learn_evacuated_from_store(shared, Evacuated::new(changes.position, names));
        }
        return;
    }
    for change in changes.changes {
        match watched {
            WatchedKind::Configuration if !change.removed => {
                apply_configuration(shared, change.object);
            }
            WatchedKind::Records if !change.removed => apply_record(shared, &change.object),
            WatchedKind::Configuration | WatchedKind::Records | WatchedKind::Evacuations => {
                log::warn!(kind:% = watched.kind(), name:% = change.object.name; "object removed");
            }
        }
    }
}

fn apply_configuration(shared: &Rc<Shared>, object: StoredObject) {
    if object.name == kind::CONFIGURATION_NAME {
        learn_configuration(shared, object.spec, "store");
    }
}

fn apply_record(shared: &Rc<Shared>, object: &StoredObject) {
    match StoredRecord::decode(&object.spec) {
        Ok(record) if record.service == object.name => {
            learn_record(shared, record, object.position, None);
        }
        Ok(record) => {
            log::warn!(name:% = object.name, service:% = record.service;
                "record malformed: it has another service's name");
        }
        Err(error) => {
            log::warn!(name:% = object.name, reason:% = error; "record malformed");
        }
    }
}
