//! Follows the store's objects of one kind.

use std::rc::Rc;
use std::time::Duration;

use rattanarch_adapter::Changes;
use rattanarch_adapter::Freshness;
use rattanarch_adapter::Listing;
use rattanarch_adapter::StoreError;
use rattanarch_adapter::StoredObject;
use rattanarch_adapter::StoredRecord;
use rattanarch_adapter::kind;
use rattanarch_process::random_fraction;

use crate::process::Shared;
use crate::process::records::learn_configuration;
use crate::process::records::learn_evacuated;
use crate::process::records::learn_record;
use crate::version::Evacuated;

/// Longest wait of one watch; each is a priced call.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// First and longest pause after a call that failed. The longest leaves a store that returns time
/// to be noticed within a second.
pub(crate) const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Least time in which changes to ownership records are gathered: members that join or leave together
/// make many, and each answer of a watch is a priced call.
const RECORD_PAUSE: Duration = Duration::from_millis(100);

/// Longest such time: the store forgets its history after some 20 s, and the list that is needed then
/// costs more.
const LONGEST_RECORD_PAUSE: Duration = Duration::from_secs(5);

/// Answers of record watches that all daemons together take in a second: a fiftieth of the reads that
/// the smallest store bears. Whom a change concerns at once is told by its writer.
const RECORD_ANSWERS: f64 = 40.0;

/// Kinds of objects that every daemon follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WatchedKind {
    /// The operators' configuration.
    Configuration,
    /// Data centres taken out.
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

    /// How recent the store's answers have to be. Those whom a change to a record concerns are told
    /// by its writer, the others by gossip, and versions only rise.
    fn freshness(self) -> Freshness {
        match self {
            Self::Configuration | Self::Evacuations => Freshness::Current,
            Self::Records => Freshness::Stale,
        }
    }
}

/// Follows objects as long as the process lives.
pub(crate) async fn follow(shared: Rc<Shared>, followed: WatchedKind) {
    let mut pause = FIRST_PAUSE;
    let mut freshness = followed.freshness();
    loop {
        await_store(&shared, followed).await;
        match shared.store.list(followed.kind(), freshness).await {
            Ok(listing) => {
                shared.record_store_result(true, &"");
                let revision = listing.revision;
                listed(&shared, followed, listing);
                if watch(&shared, followed, revision).await {
                    pause = FIRST_PAUSE;
                } else {
                    // A stale list may again be older than the history that is kept.
                    freshness = Freshness::Current;
                    rest(&mut pause).await;
                }
            }
            Err(error) => {
                failed(&shared, followed, &error);
                rest(&mut pause).await;
            }
        }
    }
}

/// Notes a call that failed. The configuration's stand for all: they are made first while the store is away.
fn failed(shared: &Rc<Shared>, followed: WatchedKind, error: &StoreError) {
    shared.record_store_result(false, error);
    if followed == WatchedKind::Configuration {
        shared.follower.store_failed(shared);
    }
}

/// Waits with the other kinds until the store answers for the configuration: each call is priced, also one that
/// is refused.
async fn await_store(shared: &Rc<Shared>, followed: WatchedKind) {
    while followed != WatchedKind::Configuration && shared.is_store_unreachable() {
        tokio::time::sleep(FIRST_PAUSE).await;
    }
}

/// Reads all ownership records.
///
/// # Errors
/// See [`StoreError`].
pub(crate) async fn list_records(
    shared: &Rc<Shared>,
    freshness: Freshness,
) -> Result<(), StoreError> {
    let listing = shared.store.list(kind::RECORD, freshness).await?;
    shared.record_store_result(true, &"");
    listed(shared, WatchedKind::Records, listing);
    Ok(())
}

/// Time in which each of `daemons` gathers changes to ownership records.
fn record_pause(daemons: usize) -> Duration {
    let pause = Duration::from_secs_f64(daemons as f64 / RECORD_ANSWERS);
    pause.clamp(RECORD_PAUSE, LONGEST_RECORD_PAUSE)
}

/// Sleeps for `pause`, spread by half, and doubles it.
pub(crate) async fn rest(pause: &mut Duration) {
    tokio::time::sleep(pause.mul_f64(0.75 + random_fraction() / 2.0)).await;
    *pause = (*pause * 2).min(LONGEST_PAUSE);
}

/// Takes changes after `revision` until the store no longer has them; returns whether it had any of them.
async fn watch(shared: &Rc<Shared>, followed: WatchedKind, mut revision: u64) -> bool {
    let mut pause = FIRST_PAUSE;
    let mut answered = false;
    loop {
        await_store(shared, followed).await;
        let (kind, freshness) = (followed.kind(), followed.freshness());
        match shared.store.watch(kind, revision, WATCH_WAIT, freshness).await {
            Ok(changes) => {
                shared.record_store_result(true, &"");
                pause = FIRST_PAUSE;
                answered = true;
                revision = changes.revision;
                changed(shared, followed, changes);
                if followed == WatchedKind::Records {
                    let daemons = shared.knowledge.borrow().daemon_count();
                    tokio::time::sleep(record_pause(daemons)).await;
                }
            }
            Err(StoreError::HistoryGone) => return answered,
            Err(error) => {
                failed(shared, followed, &error);
                rest(&mut pause).await;
            }
        }
    }
}

fn listed(shared: &Rc<Shared>, followed: WatchedKind, listing: Listing) {
    match followed {
        WatchedKind::Configuration => {
            for object in listing.objects {
                configuration(shared, object);
            }
        }
        WatchedKind::Evacuations => {
            let names = listing.objects.into_iter().map(|object| object.name);
            evacuated(shared, Evacuated::new(listing.revision, names));
        }
        WatchedKind::Records => {
            shared.knowledge.borrow_mut().records_listed = true;
            for object in listing.objects {
                record(shared, &object);
            }
            crate::control::maintain(shared);
        }
    }
}

fn changed(shared: &Rc<Shared>, followed: WatchedKind, changes: Changes) {
    for change in changes.changes {
        match followed {
            WatchedKind::Configuration if !change.removed => configuration(shared, change.object),
            WatchedKind::Records if !change.removed => record(shared, &change.object),
            WatchedKind::Evacuations => {
                let known = Rc::clone(shared.knowledge.borrow().evacuated());
                let name = change.object.name;
                let others = known.names().filter(|other| **other != name).cloned();
                let added = (!change.removed).then(|| name.clone());
                let names: Vec<_> = others.chain(added).collect();
                evacuated(shared, Evacuated::new(changes.revision, names));
            }
            WatchedKind::Configuration | WatchedKind::Records => {
                log::warn!(kind:% = followed.kind(), name:% = change.object.name; "object removed");
            }
        }
    }
}

fn configuration(shared: &Rc<Shared>, object: StoredObject) {
    if object.name == kind::CONFIGURATION_NAME {
        learn_configuration(shared, object.spec, "store");
    }
}

fn evacuated(shared: &Rc<Shared>, evacuated: Evacuated) {
    let known = Rc::clone(shared.knowledge.borrow().evacuated());
    // The same state at a later revision is no news.
    if known.revision == 0 || !known.is_same(&evacuated) {
        learn_evacuated(shared, evacuated, "store");
    }
}

fn record(shared: &Rc<Shared>, object: &StoredObject) {
    match StoredRecord::read(&object.spec) {
        Ok(record) => learn_record(shared, record, object.revision, None),
        Err(error) => {
            log::warn!(name:% = object.name, reason:% = error; "record malformed");
        }
    }
}
