//! Runs the ownership protocol's state machine: feeds it events and carries out its actions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use rattanarch_adapter::Heartbeat;
use rattanarch_ownership::Action;
use rattanarch_ownership::Event;
use rattanarch_ownership::KeptFences;
use rattanarch_ownership::Node;
use rattanarch_ownership::Serving;
use rattanarch_placement::Spread;
use rattanarch_process::random;
use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use crate::control::change_requests::delegate;
use crate::control::change_requests::write_due_requests;
use crate::control::schedule_record_fetch;
use crate::control::slice_drain;
use crate::process::Shared;
use crate::process::first_record;
use crate::process::read_record;
use crate::process::write_record;
use crate::upstream::check_if_due;
use crate::upstream::log_grant_changes;
use crate::upstream::slices_within;
use crate::version::Knowledge;

/// Number of slices of a service that is divided by key: 16 neighbouring keys each, so that busy keys close to
/// one another can have different owners.
const SLICES: SliceId = 4_096;

/// First fence of a process; each process of a slot takes a fence one above its predecessor's.
const FIRST_FENCE: Fence = 1;

/// Minimum interval between two ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after a listing without a record within which daemons that live on have written the record back: they notice
/// within a second that the store is back, and query each other before they write.
const RESTORE_TIME: Duration = Duration::from_secs(3);

/// Drives the node by regular ticks, until the process ends.
pub(crate) async fn run(shared: Rc<Shared>) {
    let interval = (shared.control.borrow().timing.heartbeat / 10).max(MIN_TICK_INTERVAL);
    loop {
        tokio::time::sleep(interval).await;
        if let Some(at) = shared.follower.last_confirmed() {
            step(&shared, Event::PlatformReached { call_sent: at });
        }
        step(&shared, Event::Tick);
        check_if_due(&shared);
        write_due_requests(&shared);
        maintain(&shared);
    }
}

/// Resets ownership for an upstream that has started anew, or is seen for the first time, with the heartbeat `beat`.
///
/// An earlier process may have given grants to it, even if this process has seen another life before: that may have been a
/// late heartbeat of an ended one. `first` says that it has seen none; only then fences in `beat` may be kept.
pub(crate) fn begin_life(shared: &Rc<Shared>, first: bool, beat: &Heartbeat) {
    let mut control = shared.control.borrow_mut();
    control.reset();
    for range in beat.held.iter().filter(|_| first) {
        let held = slices_within(SLICES, range.first, range.last);
        control.kept_fences.report(held.map(|slice| (slice, range.fence)));
    }
    let lease = control.timing.lease;
    let until = control.started + lease + lease / 20;
    drop(control);
    let mut state = shared.upstream.state.borrow_mut();
    state.reset_grants(shared.now(), SLICES, until);
}

/// Handles what a heartbeat reports about released keys.
pub(crate) fn handle_heartbeat(shared: &Rc<Shared>, beat: &Heartbeat) {
    slice_drain::record_handovers(shared, beat);
    maintain(shared);
}

/// Brings the node up to date with the rest of the daemon: starts it, passes it the excluded and lost members and the
/// drained slices, and has it leave with its upstream.
pub(crate) fn maintain(shared: &Rc<Shared>) {
    start_node(shared);
    log_lease_change(shared);
    log_grant_changes(shared, &mut shared.upstream.state.borrow_mut());
    update_exclusions(shared);
    if is_upstream_lost(shared) {
        // No heartbeat will come whose response could tell the upstream of a release.
        step(shared, Event::ReleaseWindow { moves: BTreeMap::new() });
    }
    if let Some(event) = slice_drain::take_drained(shared) {
        step(shared, event);
    }
    leave_if_empty(shared);
}

/// Starts the node once the upstream, the configuration and the record are known.
fn start_node(shared: &Rc<Shared>) {
    if shared.control.borrow().node.is_some() || !is_upstream_ready(shared) {
        return;
    }
    let service = &shared.settings.service;
    let knowledge = shared.knowledge.borrow();
    let Some(keyed) =
        knowledge.routes().and_then(|routes| routes.service(service)).map(|s| s.keyed)
    else {
        return;
    };
    if knowledge.record(service).is_none() && !may_found_service(shared, &knowledge) {
        return;
    }
    let slices = if keyed { SLICES } else { 0 };
    let known = knowledge.record(service).cloned();
    let initial_members = knowledge.initial_members(service);
    drop(knowledge);
    let record = known.map_or_else(|| first_record(shared, slices), |known| Record::clone(&known));
    let mut control = shared.control.borrow_mut();
    let node = Node::new(random(), own_member(shared), control.timing, random());
    let node =
        node.with_spread(Spread::ByLoad).with_initial_members(initial_members).with_batching();
    log::info!(boot:% = format!("{:x}", node.me()), record = record.version; "joining");
    control.node = Some(node);
    drop(control);
    shared.upstream.state.borrow_mut().keyed = keyed;
    step(shared, Event::Record { record, read_sent: None });
}

/// Whether this daemon may write the first record of its service, given that it knows none.
///
/// A store that was restored from an older copy may have lost the record of a service that lives on. Its daemons write
/// the record back soon after.
fn may_found_service(shared: &Shared, knowledge: &Knowledge) -> bool {
    let Some(listed) = knowledge.listed_at else { return false };
    let never_restored = shared.settings.bootstrap || shared.store.era() == 0;
    never_restored || shared.now() >= listed + RESTORE_TIME
}

/// Whether there is an upstream that is not leaving and has not refused a connection since its last heartbeat.
fn is_upstream_ready(shared: &Shared) -> bool {
    let state = shared.upstream.state.borrow();
    state.life.as_ref().is_some_and(|life| life.leaving.is_none() && life.refused.is_none())
}

fn own_member(shared: &Shared) -> Member {
    let settings = &shared.settings;
    Member {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        peer: settings.listen.datagrams,
        caller: settings.listen.peers,
        slots: shared.upstream.state.borrow().admission.slots() as u16,
        fence: FIRST_FENCE,
        term: 0,
        witnesses: Vec::new(),
        leaving: false,
        releases: 0,
        link_megabits_per_s: settings.link as u32,
    }
}

/// Tells the node which members are excluded from owning slices, if they have changed: those of evacuated data centres,
/// and this member itself if its upstream is leaving or gone. Also tells it which members are lost.
fn update_exclusions(shared: &Rc<Shared>) {
    let Some(me) = shared.control.borrow().node.as_ref().map(Node::me) else { return };
    let knowledge = shared.knowledge.borrow();
    let record = knowledge.record(&shared.settings.service).cloned();
    let evacuated = Rc::clone(knowledge.evacuated());
    drop(knowledge);
    let members = record.iter().flat_map(|record| &record.members);
    let evacuating = members.filter(|(_, member)| evacuated.contains(&member.data_centre));
    let mut excluded: BTreeSet<BootId> = evacuating.map(|(id, _)| *id).collect();
    if is_upstream_leaving(shared) {
        excluded.insert(me);
    }
    let lost: BTreeSet<BootId> = lost_members(shared, record.as_deref());
    let mut control = shared.control.borrow_mut();
    if control.excluded == excluded && control.lost == lost {
        return;
    }
    log::info!(barred = excluded.len(), own = excluded.contains(&me), lost = lost.len();
        "members excluded from ownership");
    control.excluded.clone_from(&excluded);
    control.lost.clone_from(&lost);
    drop(control);
    let (excluded, lost) = (excluded.into_iter().collect(), lost.into_iter().collect());
    step(shared, Event::ExcludedMembers { excluded, lost });
}

/// Members whose processes are known to have ended. Their slices are free once their grants have expired, whatever
/// happened to their witnesses.
fn lost_members(shared: &Shared, record: Option<&Record>) -> BTreeSet<BootId> {
    let mut control = shared.control.borrow_mut();
    let is_member = |id: &BootId| record.is_some_and(|record| record.members.contains_key(id));
    control.ended.retain(is_member);
    control.ended.clone()
}

/// Called when a daemon of another service responds at the address of `member`, whose process must have ended.
pub(crate) fn mark_ended(shared: &Rc<Shared>, service: &str, member: BootId) {
    if service != shared.settings.service || !shared.control.borrow_mut().ended.insert(member) {
        return;
    }
    log::warn!(boot:% = format!("{member:x}"); "member ended: another service answers at its address");
    maintain(shared);
}

/// Logs when the lease is lost or regained.
fn log_lease_change(shared: &Shared) {
    let now = shared.now();
    let state = shared.upstream.state.borrow();
    let leased = state.serving.lease_end.is_some_and(|until| now < until);
    let version = state.serving.record.version;
    let before = std::mem::replace(&mut shared.control.borrow_mut().leased, leased);
    if leased && !before {
        log::info!(record = version; "lease acquired");
    } else if before && !leased {
        log::warn!(record = version; "lease lost");
    }
}

/// Whether the upstream refuses connections, or its heartbeats have stopped.
fn is_upstream_lost(shared: &Shared) -> bool {
    let beat = shared.settings.heartbeat;
    shared.upstream.state.borrow_mut().is_lost(shared.now(), beat)
}

/// Whether the upstream is leaving or refuses connections, or the heartbeats of a keyed one have stopped. Ends the
/// grants of one that refuses connections.
fn is_upstream_leaving(shared: &Shared) -> bool {
    let now = shared.now();
    let mut state = shared.upstream.state.borrow_mut();
    let beat = shared.settings.heartbeat;
    let lost = state.is_lost(now, beat) && state.keyed;
    let Some(life) = &state.life else { return false };
    let refused = life.refused.is_some();
    let leaving = life.leaving.is_some() || refused || lost;
    if refused {
        // An upstream that has ended holds nothing.
        state.grants.end_all();
    }
    leaving
}

/// Stops the node once the upstream is leaving and this member owns no slices any more.
fn leave_if_empty(shared: &Rc<Shared>) {
    let state = shared.upstream.state.borrow();
    let leaving = state.life.as_ref().is_some_and(|life| life.leaving.is_some());
    drop(state);
    let mut control = shared.control.borrow_mut();
    let Some(me) = control.node.as_ref().map(Node::me) else { return };
    if !leaving || control.leaving {
        return;
    }
    let knowledge = shared.knowledge.borrow();
    let record = knowledge.record(&shared.settings.service);
    let owns = record.is_some_and(|record| record.slices_of(me).next().is_some());
    if owns || !control.draining.is_empty() {
        return;
    }
    control.leaving = true;
    drop((control, knowledge));
    step(shared, Event::Stop);
}

/// Passes a record to the node if it is of this daemon's service; `read_sent` is when the read was sent that the store
/// has answered with it.
pub(crate) fn handle_newer_record(
    shared: &Rc<Shared>,
    record: &Rc<Record>,
    read_sent: Option<Moment>,
) {
    if record.service == shared.settings.service {
        step(shared, Event::Record { record: Record::clone(record), read_sent });
        maintain(shared);
    }
}

/// Feeds an event to the node and carries out the resulting actions.
pub(crate) fn step(shared: &Rc<Shared>, event: Event) {
    let mut events = VecDeque::from([event]);
    while let Some(event) = events.pop_front() {
        let now = shared.now();
        let mut control = shared.control.borrow_mut();
        let Some(node) = &mut control.node else { return };
        let actions = node.step(now, event);
        let serving = node.serving().clone();
        drop(control);
        publish_serving(shared, serving);
        let mut messages = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, message } => messages.push((to, message)),
                other => execute(shared, other, &mut events),
            }
        }
        shared.socket.send_messages(shared, &messages);
    }
}

fn execute(shared: &Rc<Shared>, action: Action, events: &mut VecDeque<Event>) {
    match action {
        Action::Send { .. } => {}
        Action::Write(record) => {
            tokio::task::spawn_local(write_record(Rc::clone(shared), record));
        }
        Action::Read => {
            tokio::task::spawn_local(read_record(Rc::clone(shared)));
        }
        Action::CatchUp { from } => catch_up(shared, from),
        Action::Drain { slices, .. } => {
            log::info!(slices = slices.len(); "releasing slices");
            shared.meters.released(slices.len());
            shared.control.borrow_mut().draining.extend(slices);
            events.extend(slice_drain::take_drained(shared));
        }
        // Only one process can listen for the upstream's heartbeats, so only this one gives it grants: the older
        // process has ended, and no fence has to be taken at the upstream.
        Action::Fence { above } => events.push_back(Event::Fenced { fence: above + 1 }),
        Action::Delegate { to, request } => delegate(shared, to, request),
        Action::Rejoin => {
            log::warn!("removed from the record; joining again");
            reset_node(shared);
        }
        Action::Left => {
            log::info!("left the service");
            reset_node(shared);
        }
    }
}

/// Fetches newer records from the member `from`. If the known record does not contain it yet, gossip will bring the
/// newer record.
fn catch_up(shared: &Rc<Shared>, from: BootId) {
    let knowledge = shared.knowledge.borrow();
    let record = knowledge.record(&shared.settings.service);
    let member = record.and_then(|record| record.members.get(&from));
    let address = member.map(|member| member.caller);
    drop(knowledge);
    if let Some(address) = address {
        schedule_record_fetch(shared, address);
    }
}

/// Drops the node and what belonged to its membership; the next one joins under a new boot id.
fn reset_node(shared: &Rc<Shared>) {
    let mut control = shared.control.borrow_mut();
    control.node = None;
    control.excluded.clear();
    control.lost.clear();
    control.draining.clear();
    control.kept_fences = KeptFences::default();
    control.leaving = false;
    drop(control);
    shared.upstream.state.borrow_mut().serving.lease_end = None;
}

/// Passes what the node may serve to the code that handles requests and to the grants.
fn publish_serving(shared: &Rc<Shared>, serving: Serving) {
    let mut control = shared.control.borrow_mut();
    let control = &mut *control;
    let mut state = shared.upstream.state.borrow_mut();
    let version = serving.record.version;
    let me = serving.me;
    if me != 0 && version != control.granted_version {
        control.granted_version = version;
        control.restore_wait.observe(shared.now(), &serving.record, &control.timing);
        let kept = control.kept_fences.apply_record(&serving.record, me);
        state.grants.apply_record(&serving.record, me, |slice| kept.get(&slice).copied());
    }
    let before = std::mem::replace(&mut state.serving, serving);
    let unchanged = before.lease_end.is_some() == state.serving.lease_end.is_some()
        && before.record.version == version
        && before.releasing == state.serving.releasing;
    drop(state);
    if !unchanged {
        shared.state_changed.notify_waiters();
    }
}
