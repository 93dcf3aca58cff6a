//! Drives the ownership protocol.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use rattanarch_adapter::Heartbeat;
use rattanarch_ownership::Action;
use rattanarch_ownership::Event;
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

use crate::control::change_requests::ask;
use crate::control::change_requests::gather;
use crate::control::schedule_record_fetch;
use crate::control::slice_drain;
use crate::process::Shared;
use crate::process::read_record;
use crate::process::write_record;
use crate::upstream::slices_within;

/// Slices of a service that is divided by key: 16 neighbouring keys each, so that busy keys close to
/// one another can have different owners.
const SLICES: SliceId = 4_096;

/// First fence of a process; each process of a slot takes one above that of the one before.
const FIRST_FENCE: Fence = 1;

/// Shortest time between two ticks.
const MIN_TICK: Duration = Duration::from_millis(50);

/// Ticks the protocol as long as the process lives.
pub(crate) async fn run(shared: Rc<Shared>) {
    let pause = (shared.control.borrow().timing.heartbeat / 10).max(MIN_TICK);
    loop {
        tokio::time::sleep(pause).await;
        if let Some(at) = shared.follower.last_confirmed() {
            step(&shared, Event::PlatformSeen { at });
        }
        step(&shared, Event::Tick);
        gather(&shared);
        maintain(&shared);
    }
}

/// A new life of the upstream has begun with `beat`; `first` says whether this process knew none
/// before, so that an earlier process may have granted something to this very life.
pub(crate) fn begin_life(shared: &Rc<Shared>, first: bool, beat: &Heartbeat) {
    let mut control = shared.control.borrow_mut();
    control.reset();
    for range in beat.held.iter().filter(|_| first) {
        let kept = slices_within(SLICES, range.first, range.last);
        control.kept.extend(kept.map(|slice| (slice, range.fence)));
    }
    let lease = control.timing.lease;
    let until = if first { control.started + lease + lease / 20 } else { Moment::ZERO };
    drop(control);
    let mut state = shared.upstream.state.borrow_mut();
    state.reset_grants(shared.now(), SLICES, until);
}

/// Takes what a heartbeat says of released keys.
pub(crate) fn handle_heartbeat(shared: &Rc<Shared>, beat: &Heartbeat) {
    slice_drain::take_released(shared, beat);
    maintain(shared);
}

/// Does what is due besides the protocol itself: starts the node, tells it what operators want, and
/// tells it what has become quiet.
pub(crate) fn maintain(shared: &Rc<Shared>) {
    start(shared);
    note_lease(shared);
    intend(shared);
    if is_silent(shared) {
        // No heartbeat will come that slices could wait for.
        step(shared, Event::ReleaseWindow { moves: BTreeMap::new() });
    }
    if let Some(event) = slice_drain::check(shared) {
        step(shared, event);
    }
    leave(shared);
}

/// Starts the node once the upstream, the configuration and the record are known.
fn start(shared: &Rc<Shared>) {
    if shared.control.borrow().node.is_some() || !is_wanted(shared) {
        return;
    }
    let service = &shared.settings.service;
    let knowledge = shared.knowledge.borrow();
    let Some(keyed) =
        knowledge.routes().and_then(|routes| routes.service(service)).map(|s| s.keyed)
    else {
        return;
    };
    if knowledge.record(service).is_none() && !knowledge.records_listed {
        return;
    }
    let slices = if keyed { SLICES } else { 0 };
    let known = knowledge.record(service).cloned();
    let initial_members = knowledge.initial_members(service);
    drop(knowledge);
    let record = known.map_or_else(|| Record::new(service.clone(), slices), |r| Record::clone(&r));
    let mut control = shared.control.borrow_mut();
    let node = Node::new(random(), member(shared), control.timing, random());
    let node =
        node.with_spread(Spread::ByLoad).with_initial_members(initial_members).with_batching();
    log::info!(boot:% = format!("{:x}", node.me()), record = record.version; "joining");
    control.node = Some(node);
    drop(control);
    shared.upstream.state.borrow_mut().keyed = keyed;
    step(shared, Event::Record { record, read_sent: None });
}

/// Whether the upstream is there to serve.
fn is_wanted(shared: &Shared) -> bool {
    let state = shared.upstream.state.borrow();
    state.life.as_ref().is_some_and(|life| life.leaving.is_none() && life.refused.is_none())
}

fn member(shared: &Shared) -> Member {
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
        link: settings.link as u32,
    }
}

/// Tells the node which members are to own nothing: those of data centres that are out, and itself
/// if its upstream is leaving or gone.
fn intend(shared: &Rc<Shared>) {
    let Some(me) = shared.control.borrow().node.as_ref().map(Node::me) else { return };
    let knowledge = shared.knowledge.borrow();
    let record = knowledge.record(&shared.settings.service).cloned();
    let evacuated = Rc::clone(knowledge.evacuated());
    drop(knowledge);
    let members = record.iter().flat_map(|record| &record.members);
    let out = members.filter(|(_, member)| evacuated.contains(&member.data_centre));
    let mut barred: BTreeSet<BootId> = out.map(|(id, _)| *id).collect();
    if is_upstream_out(shared) {
        barred.insert(me);
    }
    let lost: BTreeSet<BootId> = lost(shared, record.as_deref());
    let mut control = shared.control.borrow_mut();
    if control.barred == barred && control.lost == lost {
        return;
    }
    log::info!(barred = barred.len(), own = barred.contains(&me), lost = lost.len();
        "members barred from owning");
    control.barred.clone_from(&barred);
    control.lost.clone_from(&lost);
    drop(control);
    let (barred, lost) = (barred.into_iter().collect(), lost.into_iter().collect());
    step(shared, Event::Intent { barred, lost });
}

/// Members whose processes are known to have ended, so that their keys are free once their grants
/// have lapsed, whatever became of their witnesses.
fn lost(shared: &Shared, record: Option<&Record>) -> BTreeSet<BootId> {
    let mut control = shared.control.borrow_mut();
    let is_member = |id: &BootId| record.is_some_and(|record| record.members.contains_key(id));
    control.ended.retain(is_member);
    control.ended.clone()
}

/// Notes that the process of `member` has ended: a daemon of another service answers at its address.
pub(crate) fn mark_ended(shared: &Rc<Shared>, service: &str, member: BootId) {
    if service != shared.settings.service || !shared.control.borrow_mut().ended.insert(member) {
        return;
    }
    log::warn!(boot:% = format!("{member:x}"); "member ended: its address has another service");
    maintain(shared);
}

/// Logs when the lease is lost or regained.
fn note_lease(shared: &Shared) {
    let now = shared.now();
    let state = shared.upstream.state.borrow();
    let leased = state.serving.lease_end.is_some_and(|until| now < until);
    let version = state.serving.record.version;
    let before = std::mem::replace(&mut shared.control.borrow_mut().leased, leased);
    if leased && !before {
        log::info!(record = version; "lease held");
    } else if before && !leased {
        log::warn!(record = version; "lease lost");
    }
}

/// Whether the upstream is gone or not heard any more.
fn is_silent(shared: &Shared) -> bool {
    let beat = shared.settings.heartbeat;
    shared.upstream.state.borrow_mut().is_lost(shared.now(), beat)
}

fn is_upstream_out(shared: &Shared) -> bool {
    let now = shared.now();
    let mut state = shared.upstream.state.borrow_mut();
    let beat = shared.settings.heartbeat;
    let lost = state.is_lost(now, beat) && state.keyed;
    let Some(life) = &state.life else { return false };
    let gone = life.refused.is_some();
    let out = life.leaving.is_some() || gone || lost;
    if gone {
        // A life that has ended holds nothing.
        state.grants.end();
    }
    out
}

/// Leaves the record once the upstream is leaving and owns nothing any more.
fn leave(shared: &Rc<Shared>) {
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

/// Tells the node of a newer record.
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

/// Feeds one event to the node and carries out what it wants.
pub(crate) fn step(shared: &Rc<Shared>, event: Event) {
    let mut events = VecDeque::from([event]);
    while let Some(event) = events.pop_front() {
        let now = shared.now();
        let mut control = shared.control.borrow_mut();
        let Some(node) = &mut control.node else { return };
        let actions = node.step(now, event);
        let serving = node.serving().clone();
        drop(control);
        publish(shared, serving);
        let mut messages = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, message } => messages.push((to, message)),
                other => carry_out(shared, other, &mut events),
            }
        }
        shared.socket.send(shared, &messages);
    }
}

fn carry_out(shared: &Rc<Shared>, action: Action, events: &mut VecDeque<Event>) {
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
            events.extend(slice_drain::check(shared));
        }
        // This process alone gives grants to the upstream, since only one can listen for its
        // heartbeats: the older process has ended.
        Action::Fence { above } => events.push_back(Event::Fenced { fence: above + 1 }),
        Action::Delegate { to, request } => ask(shared, to, request),
        Action::Rejoin => {
            log::warn!("taken over; joining again");
            forget(shared);
        }
        Action::Left => {
            log::info!("left");
            forget(shared);
        }
    }
}

/// Fetches newer records from the member `from`; one that the known record does not show yet is met by
/// gossip.
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

fn forget(shared: &Rc<Shared>) {
    let mut control = shared.control.borrow_mut();
    control.node = None;
    control.barred.clear();
    control.lost.clear();
    control.draining.clear();
    control.before = None;
    control.kept.clear();
    control.leaving = false;
    drop(control);
    shared.upstream.state.borrow_mut().serving.lease_end = None;
}

/// Shows requests and grants what the node may serve.
fn publish(shared: &Rc<Shared>, serving: Serving) {
    let mut control = shared.control.borrow_mut();
    let control = &mut *control;
    let mut state = shared.upstream.state.borrow_mut();
    let version = serving.record.version;
    let me = serving.me;
    if me != 0 && version != control.followed {
        control.followed = version;
        follow(control, &serving, |kept| state.grants.follow(&serving.record, me, kept));
    }
    let before = std::mem::replace(&mut state.serving, serving);
    let same = before.lease_end.is_some() == state.serving.lease_end.is_some()
        && before.record.version == version
        && before.held == state.serving.held;
    drop(state);
    if !same {
        shared.state_changed.notify_waiters();
    }
}

/// Follows grants to a record. A member that has just taken the place of an older process keeps the
/// fences under which the upstream has held the slices all along.
fn follow(
    control: &mut super::Control,
    serving: &Serving,
    follow: impl FnOnce(&dyn Fn(SliceId) -> Option<Fence>),
) {
    let record = &serving.record;
    if !record.members.contains_key(&serving.me) {
        control.before = Some(Rc::new(Record::clone(record)));
        return follow(&|_| None);
    }
    let before = control.before.take().filter(|before| before.version + 1 == record.version);
    let instance = record.members.get(&serving.me).map(|member| member.instance.as_str());
    let kept = |slice: SliceId| {
        let owner = before.as_ref()?.owners.get(usize::from(slice)).copied().flatten()?;
        let old = before.as_ref()?.members.get(&owner)?;
        (Some(old.instance.as_str()) == instance).then(|| control.kept.get(&slice).copied())?
    };
    follow(&kept);
}
