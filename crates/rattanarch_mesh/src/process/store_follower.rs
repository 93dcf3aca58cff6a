//! Decides whether this daemon follows the store for its group, and learns the state after the start.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rattanarch_adapter::Freshness;
use rattanarch_adapter::kind;
use rattanarch_dissemination::DaemonLocation;
use rattanarch_dissemination::FOLLOWERS_PER_GROUP;
use rattanarch_dissemination::FollowerRole;
use rattanarch_dissemination::Group;
use rattanarch_dissemination::MAX_STAGGER;
use rattanarch_dissemination::group;
use rattanarch_process::random_fraction;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use tokio::task::JoinSet;

use crate::control;
use crate::process::Shared;
use crate::process::records::learn_configuration;
use crate::process::watcher::INITIAL_BACKOFF;
use crate::process::watcher::WatchedKind;
use crate::process::watcher::back_off;
use crate::process::watcher::list_and_watch;
use crate::process::watcher::list_records;
use crate::version::Knowledge;

/// Interval of updates of the follower role.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of the digests by which a follower confirms to its group what is current.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);

/// Interval of the stale reads by which a follower verifies that it reaches the store. Its watches alone do not show
/// a network partition for seconds.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of such a read.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval of the attempts of a daemon that has started to learn the configuration and the evacuations.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(600);

/// The role of this daemon in following the store, and the group that it has this role in.
#[derive(Debug, Default)]
pub(crate) struct StoreFollower {
    role: RefCell<FollowerRole>,
    group: RefCell<Rc<Group>>,
    /// Whether members have changed since the group was last computed.
    is_group_stale: Cell<bool>,
    /// Whether this daemon waits for the first ownership record of a new fleet, and watches the store meanwhile.
    awaits_first_record: Cell<bool>,
}

impl StoreFollower {
    /// Whether this daemon follows the store at present.
    pub(crate) fn follows(&self) -> bool {
        self.role.borrow().follows()
    }

    /// When the known state was last confirmed to be current; `None` if never.
    pub(crate) fn last_confirmed(&self) -> Option<Moment> {
        self.role.borrow().last_confirmed()
    }

    /// Has the group computed anew: the members of a service have changed.
    pub(crate) fn mark_group_stale(&self) {
        self.is_group_stale.set(true);
    }

    /// Records the confirmation of another daemon that the state known here was current at `at`. `follower` is the
    /// datagram address of that daemon if it follows the store itself.
    pub(crate) fn handle_confirmation(
        &self,
        shared: &Shared,
        at: Moment,
        follower: Option<SocketAddr>,
    ) {
        let mut role = self.role.borrow_mut();
        role.confirm(at);
        if let Some(follower) = follower {
            let group = self.group.borrow();
            let own = group.follow_rank(shared.settings.listen.datagrams);
            role.observe_follower(shared.now(), group.follow_rank(follower), own);
        }
    }

    /// Records that the store answered a call that was sent at `sent`, with nothing newer than is known.
    pub(crate) fn store_confirmed(&self, sent: Moment) {
        self.role.borrow_mut().store_confirmed(sent);
    }

    /// Records that the store did not answer a call.
    pub(crate) fn store_failed(&self, shared: &Shared) {
        let group = self.group.borrow();
        let own = group.follow_rank(shared.settings.listen.datagrams);
        self.role.borrow_mut().store_failed(shared.now(), own, group.order.len());
    }

    /// Ends the backoff, after the store has answered any call.
    pub(crate) fn reset_backoff(&self) {
        self.role.borrow_mut().reset_backoff();
    }

    /// The group, computed anew if members have changed.
    fn group(&self, shared: &Shared) -> Rc<Group> {
        if self.is_group_stale.replace(false) {
            let group = compute_group(&shared.knowledge.borrow(), shared.settings.listen.datagrams);
            self.group.replace(Rc::new(group));
        }
        Rc::clone(&self.group.borrow())
    }
}

fn compute_group(knowledge: &Knowledge, own: SocketAddr) -> Group {
    let location = |member: &Member| DaemonLocation {
        data_centre: member.data_centre.clone(),
        address: member.peer,
    };
    group(knowledge.members().map(location), own)
}

/// Follows the store whenever the role of this daemon says so, as long as the process lives.
pub(crate) async fn run_follower(shared: Rc<Shared>) {
    let spread = MAX_STAGGER.mul_f64(random_fraction());
    let mut tasks = JoinSet::new();
    let mut was_in_group = false;
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        let follower = &shared.follower;
        if follower.awaits_first_record.get() && shared.knowledge.borrow().routes().is_none() {
            continue;
        }
        let group = follower.group(&shared);
        let rank = group.follow_rank(shared.settings.listen.datagrams);
        if rank.is_some() && !was_in_group {
            // The followers do not know yet that this daemon is in their group.
            control::announce_join(
                &shared,
                &group.order[..group.order.len().min(FOLLOWERS_PER_GROUP)],
            );
        }
        was_in_group = rank.is_some();
        let follows = follower.role.borrow_mut().update(shared.now(), rank, spread);
        if follows != tasks.is_empty() {
            continue;
        }
        let age = follower.last_confirmed().map(|at| shared.now().saturating_sub(at).as_millis());
        log::info!(follows = follows, place:? = rank, group = group.order.len(), age_ms:? = age;
            "store follower role changed");
        tasks = JoinSet::new();
        if follows {
            spawn_follower_tasks(&shared, &mut tasks);
        }
    }
}

fn spawn_follower_tasks(shared: &Rc<Shared>, tasks: &mut JoinSet<()>) {
    for watched in [WatchedKind::Configuration, WatchedKind::Evacuations, WatchedKind::Records] {
        tasks.spawn_local(list_and_watch(Rc::clone(shared), watched));
    }
    tasks.spawn_local(poll_store(Rc::clone(shared)));
    tasks.spawn_local(confirm_to_group(Rc::clone(shared)));
}

/// Sends the digest to the group several times a second, which confirms what is current.
async fn confirm_to_group(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(CONFIRM_INTERVAL).await;
        let group = shared.follower.group(&shared);
        control::push_digest_to_group(&shared, &group.order);
    }
}

/// Verifies periodically that the store is reachable and holds no newer configuration.
async fn poll_store(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        read_configuration(&shared).await;
    }
}

/// Reads the configuration from the store; the answer may be seconds old.
async fn read_configuration(shared: &Rc<Shared>) {
    let sent = shared.now();
    let read = shared.store.get(kind::CONFIGURATION, kind::CONFIGURATION_NAME, Freshness::Stale);
    match tokio::time::timeout(PROBE_TIMEOUT, read).await {
        Ok(Ok(object)) => {
            shared.record_store_result(true, &"");
            // This read confirms only the configuration: the rest has to have been learned first.
            if shared.follower.follows() && shared.knowledge.borrow().is_operator_state_known() {
                shared.follower.store_confirmed(sent);
            }
            if let Some(object) = object {
                learn_configuration(shared, object.spec, "stale read");
            }
        }
        Ok(Err(error)) => shared.record_store_result(false, &error),
        Err(_) => shared.record_store_result(false, &"no answer in time"),
    }
}

/// Learns after the start which daemons there are, and from them the configuration and the evacuations.
pub(crate) async fn catch_up(shared: Rc<Shared>) {
    let mut backoff = INITIAL_BACKOFF;
    while let Err(error) = list_records(&shared, Freshness::Stale).await {
        shared.record_store_result(false, &error);
        back_off(&mut backoff).await;
    }
    await_first_record(&shared).await;
    while !shared.knowledge.borrow().is_operator_state_known() {
        control::fetch_initial_state(&shared).await;
        let follows = shared.follower.follows();
        // The configuration is enough to join, and members receive the rest from others.
        if !follows && shared.knowledge.borrow().routes().is_none() {
            read_configuration(&shared).await;
            control::maintain(&shared);
        }
        tokio::time::sleep(CATCH_UP_INTERVAL).await;
    }
}

/// Watches the store until a record with a daemon is known, in a fleet that starts for the first time: two watches
/// learn as much as many reads, and sooner.
async fn await_first_record(shared: &Rc<Shared>) {
    let is_empty = || shared.knowledge.borrow().daemon_count() == 0;
    if !is_empty() {
        return;
    }
    shared.follower.awaits_first_record.set(true);
    let mut tasks = JoinSet::new();
    for watched in [WatchedKind::Configuration, WatchedKind::Records] {
        tasks.spawn_local(list_and_watch(Rc::clone(shared), watched));
    }
    while is_empty() {
        // Returns at the next change; the timeout only covers a notification that was missed.
        let _ = tokio::time::timeout(CATCH_UP_INTERVAL, shared.state_changed.notified()).await;
    }
    shared.follower.awaits_first_record.set(false);
}
