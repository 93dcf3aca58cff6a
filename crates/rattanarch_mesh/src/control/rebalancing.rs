//! Moves slices to members with less load.

use std::rc::Rc;

use rattanarch_ownership::Event;
use rattanarch_placement::MemberLoad;
use rattanarch_placement::MovePlan;
use rattanarch_placement::SliceLoad;
use rattanarch_placement::expected_gap;
use rattanarch_placement::plan_slice_moves;
use rattanarch_placement::plan_slice_relief;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Moment;

use crate::control::step;
use crate::process::Shared;

/// Heartbeats between two rounds of moves, in which loads settle: a slice is served by its new owner after about one
/// heartbeat, and its request rate is known after another.
const SETTLING_HEARTBEATS: u32 = 2;

/// Lets the node release slices now: the response to the heartbeat that has just come can tell the upstream.
pub(crate) fn open_release_window(shared: &Rc<Shared>) {
    let now = shared.now();
    measure_load(shared, now);
    let plan = planned_moves(shared, now);
    let moves = plan.moves.iter().copied().collect();
    step(shared, Event::ReleaseWindow { moves });
    // The node starts no move while its contact with the store is in doubt; the next heartbeat tries again.
    let started = !plan.moves.is_empty() && !shared.control.borrow().draining.is_empty();
    shared.meters.move_plan(&plan, started);
    if started {
        record_start(shared, now, &plan);
    }
}

/// Ends the interval in which the load is measured.
fn measure_load(shared: &Shared, now: Moment) {
    let mut state = shared.upstream.state.borrow_mut();
    state.meter.end_interval(now);
    let utilization = state.utilization();
    state.history.add(now, utilization);
    log::debug!(used_percent = (utilization * 100.0) as u64,
        mean_ms = state.admission.mean_service_time().as_millis() as u64,
        running = state.admission.running(), waiting = state.admission.waiting(),
        served = state.grants.served_count(now); "load");
}

/// Records that the moves of `plan` have begun, and when the slices are expected to be served again.
fn record_start(shared: &Shared, now: Moment, plan: &MovePlan) {
    if shared.settings.cost_based_moves {
        let others = other_loads(shared, now);
        let gap = |to: BootId| others.iter().find(|other| other.member == to).map(|o| o.gap);
        let expected = plan.moves.iter().filter_map(|(slice, to)| Some((*slice, now + gap(*to)?)));
        shared.upstream.state.borrow_mut().expected_moves = expected.collect();
    }
    let state = shared.upstream.state.borrow();
    log::info!(slices = plan.moves.len(), used_percent = (state.utilization() * 100.0) as u64,
        gain = plan.gain as u64, cost = plan.cost as u64, skipped = plan.skipped;
        "moving slices because of load");
    shared.control.borrow_mut().last_rebalance = now;
}

/// Slices to move now and their new owners; empty while earlier moves drain or settle.
fn planned_moves(shared: &Shared, now: Moment) -> MovePlan {
    let control = shared.control.borrow();
    let settling_time = shared.settings.heartbeat * SETTLING_HEARTBEATS;
    let Some(me) = control.node.as_ref().map(|node| node.me()) else { return MovePlan::default() };
    if now < control.last_rebalance + settling_time || !control.draining.is_empty() {
        return MovePlan::default();
    }
    drop(control);
    let others = other_loads(shared, now);
    let state = shared.upstream.state.borrow();
    let load = |slice| SliceLoad {
        slice,
        rate: state.meter.rate(slice),
        steady_rate: state.meter.steady_rate(slice),
    };
    let slices: Vec<SliceLoad> = state.serving.record.slices_of(me).map(load).collect();
    let own = MemberLoad {
        member: me,
        utilization: state.utilization(),
        request_cost: state.request_cost(),
        slots: state.admission.slots(),
        gap: expected_gap(None, shared.settings.heartbeat),
    };
    if !shared.settings.cost_based_moves {
        let moves = plan_slice_relief(own, &slices, &others);
        return MovePlan { moves, ..MovePlan::default() };
    }
    plan_slice_moves(own, &state.history.lasting(), &slices, &others)
}

/// Loads of the other members that may receive slices, as far as they are known and recent.
fn other_loads(shared: &Shared, now: Moment) -> Vec<MemberLoad> {
    let control = shared.control.borrow();
    let Some(me) = control.node.as_ref().map(|node| node.me()) else { return Vec::new() };
    let state = shared.upstream.state.borrow();
    let members = state.serving.record.members.iter();
    let others = members
        .filter(|(id, member)| **id != me && !member.leaving && !control.excluded.contains(id));
    others.filter_map(|(id, member)| other_load(shared, now, *id, member)).collect()
}

fn other_load(shared: &Shared, now: Moment, id: BootId, member: &Member) -> Option<MemberLoad> {
    let peer = shared.peers.get(member.caller);
    let (load, age) = peer.recent_load(now)?;
    // A cold upstream takes far fewer requests than its slots and mean service time say.
    let is_excluded = load.cold || peer.backoff_left(now).is_some() || peer.is_leaving(id);
    if is_excluded && shared.settings.cost_based_moves {
        return None;
    }
    let told = Some((load.next_heartbeat, age)).filter(|(next, _)| !next.is_zero());
    Some(MemberLoad {
        member: id,
        utilization: f64::from(load.used_percent) / 100.0,
        request_cost: load.time_per_request().as_secs_f64(),
        slots: load.slots,
        gap: expected_gap(told, shared.settings.heartbeat),
    })
}
