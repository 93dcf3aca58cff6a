//! This daemon's turn at following the store, and its start.

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
use crate::process::watcher::FIRST_PAUSE;
use crate::process::watcher::WatchedKind;
use crate::process::watcher::follow;
use crate::process::watcher::list_records;
use crate::process::watcher::rest;
use crate::version::Knowledge;

/// Time between two looks at whose turn it is.
const LOOK: Duration = Duration::from_millis(100);

/// Time between two words of a follower to its group.
const BEACON_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two stale reads by which a follower confirms that it reaches the store. Its watches alone show
/// nothing of a cut for seconds.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Longest time of such a read.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between two tries of a daemon that has started to learn what operators want.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(600);

/// Whether this daemon follows the store, and the group that it does so for.
#[derive(Debug, Default)]
pub(crate) struct StoreFollower {
    duty: RefCell<FollowerRole>,
    group: RefCell<Rc<Group>>,
    /// Whether members have changed since the group was last worked out.
    stale: Cell<bool>,
    /// Whether this daemon waits for the fleet's first record, and watches the store meanwhile.
    awaits_fleet: Cell<bool>,
}

impl StoreFollower {
    /// Whether this daemon follows the store at present.
    pub(crate) fn follows(&self) -> bool {
        self.duty.borrow().follows()
    }

    /// When what is known was last confirmed to be current.
    pub(crate) fn last_confirmed(&self) -> Option<Moment> {
        self.duty.borrow().last_confirmed()
    }

    /// Notes that the members of a service have changed.
    pub(crate) fn mark_group_stale(&self) {
        self.stale.set(true);
    }

    /// Takes word of another daemon: what this one knows was current at `at`, and whether that daemon follows the
    /// store itself.
    pub(crate) fn handle_confirmation(
        &self,
        shared: &Shared,
        at: Moment,
        follower: Option<SocketAddr>,
    ) {
        let mut duty = self.duty.borrow_mut();
        duty.confirm(at);
        if let Some(follower) = follower {
            let group = self.group.borrow();
            let own = group.follow_rank(shared.settings.listen.datagrams);
            duty.observe_follower(shared.now(), group.follow_rank(follower), own);
        }
    }

    /// Notes that the store has answered a call that was sent at `sent`.
    pub(crate) fn store_confirmed(&self, sent: Moment) {
        self.duty.borrow_mut().store_confirmed(sent);
    }

    /// Notes that the store did not answer a call.
    pub(crate) fn store_failed(&self, shared: &Shared) {
        let group = self.group.borrow();
        let own = group.follow_rank(shared.settings.listen.datagrams);
        self.duty.borrow_mut().store_failed(shared.now(), own, group.order.len());
    }

    /// Notes that the store has answered some call.
    pub(crate) fn reset_backoff(&self) {
        self.duty.borrow_mut().reset_backoff();
    }

    /// The group, worked out anew if members have changed.
    fn group(&self, shared: &Shared) -> Rc<Group> {
        if self.stale.replace(false) {
            let group = regroup(&shared.knowledge.borrow(), shared.settings.listen.datagrams);
            self.group.replace(Rc::new(group));
        }
        Rc::clone(&self.group.borrow())
    }
}

fn regroup(knowledge: &Knowledge, me: SocketAddr) -> Group {
    let neighbour = |member: &Member| DaemonLocation {
        data_centre: member.data_centre.clone(),
        address: member.peer,
    };
    group(knowledge.members().map(neighbour), me)
}

/// Follows the store while it is this daemon's turn, as long as the process lives.
pub(crate) async fn follow_in_turn(shared: Rc<Shared>) {
    let spread = MAX_STAGGER.mul_f64(random_fraction());
    let mut tasks = JoinSet::new();
    let mut placed = false;
    loop {
        tokio::time::sleep(LOOK).await;
        let follower = &shared.follower;
        if follower.awaits_fleet.get() && shared.knowledge.borrow().routes().is_none() {
            continue;
        }
        let group = follower.group(&shared);
        let place = group.follow_rank(shared.settings.listen.datagrams);
        if place.is_some() && !placed {
            // The followers do not know yet that they have this daemon to tell.
            control::announce_join(
                &shared,
                &group.order[..group.order.len().min(FOLLOWERS_PER_GROUP)],
            );
        }
        placed = place.is_some();
        let follows = follower.duty.borrow_mut().update(shared.now(), place, spread);
        if follows != tasks.is_empty() {
            continue;
        }
        let age = follower.last_confirmed().map(|at| shared.now().saturating_sub(at).as_millis());
        log::info!(follows = follows, place:? = place, group = group.order.len(), age_ms:? = age;
            "turn at following the store");
        tasks = JoinSet::new();
        if follows {
            begin(&shared, &mut tasks);
        }
    }
}

fn begin(shared: &Rc<Shared>, tasks: &mut JoinSet<()>) {
    for followed in [WatchedKind::Configuration, WatchedKind::Evacuations, WatchedKind::Records] {
        tasks.spawn_local(follow(Rc::clone(shared), followed));
    }
    tasks.spawn_local(probe(Rc::clone(shared)));
    tasks.spawn_local(tell_group(Rc::clone(shared)));
}

/// Tells the group several times a second what is current.
async fn tell_group(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(BEACON_INTERVAL).await;
        let group = shared.follower.group(&shared);
        control::push_digest_to_group(&shared, &group.order);
    }
}

/// Confirms again and again that the store is reached, and that it holds no newer configuration.
async fn probe(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        read_configuration(&shared).await;
    }
}

/// Reads the configuration, which may be seconds old.
async fn read_configuration(shared: &Rc<Shared>) {
    let sent = shared.now();
    let read = shared.store.get(kind::CONFIGURATION, kind::CONFIGURATION_NAME, Freshness::Stale);
    match tokio::time::timeout(PROBE_TIMEOUT, read).await {
        Ok(Ok(object)) => {
            shared.record_store_result(true, &"");
            // Nothing is confirmed before the lists have been read.
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

/// Learns after the start which daemons there are, and from them what operators want.
pub(crate) async fn catch_up(shared: Rc<Shared>) {
    let mut pause = FIRST_PAUSE;
    while let Err(error) = list_records(&shared, Freshness::Stale).await {
        shared.record_store_result(false, &error);
        rest(&mut pause).await;
    }
    await_fleet(&shared).await;
    while !shared.knowledge.borrow().is_operator_state_known() {
        control::fetch_initial_state(&shared).await;
        let follows = shared.follower.follows();
        // Enough to join, and so to be told the rest.
        if !follows && shared.knowledge.borrow().routes().is_none() {
            read_configuration(&shared).await;
            control::maintain(&shared);
        }
        tokio::time::sleep(CATCH_UP_PAUSE).await;
    }
}

/// Follows the store until it shows a daemon, in a fleet that starts for the first time: two watches tell as much
/// as many reads, and sooner.
async fn await_fleet(shared: &Rc<Shared>) {
    let is_empty = || shared.knowledge.borrow().daemon_count() == 0;
    if !is_empty() {
        return;
    }
    shared.follower.awaits_fleet.set(true);
    let mut tasks = JoinSet::new();
    for followed in [WatchedKind::Configuration, WatchedKind::Records] {
        tasks.spawn_local(follow(Rc::clone(shared), followed));
    }
    while is_empty() {
        // Ends early at word of anything new; the time only bounds a word that was missed.
        let _ = tokio::time::timeout(CATCH_UP_PAUSE, shared.state_changed.notified()).await;
    }
    shared.follower.awaits_fleet.set(false);
}
