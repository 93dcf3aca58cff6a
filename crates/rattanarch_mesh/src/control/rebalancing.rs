//! Moves slices to members with less load.

use std::collections::BTreeMap;
use std::rc::Rc;

use rattanarch_ownership::Event;
use rattanarch_placement::MemberLoad;
use rattanarch_placement::SliceLoad;
use rattanarch_placement::plan_slice_moves;
use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::SliceId;

use crate::control::step;
use crate::process::Shared;

/// Heartbeats between two rounds of moves, in which loads settle: a slice is served by its new owner after about one
/// heartbeat, and its request rate is known after another.
const SETTLING_HEARTBEATS: u32 = 2;

/// Lets the node release slices now: the response to the heartbeat that has just come can tell the upstream.
pub(crate) fn open_release_window(shared: &Rc<Shared>) {
    let now = shared.now();
    shared.upstream.state.borrow_mut().meter.end_interval(now);
    let moves = planned_moves(shared, now);
    log_load(shared, now);
    let slices = moves.len();
    step(shared, Event::ReleaseWindow { moves });
    // The node starts no move while its contact with the store is in doubt; the next heartbeat tries again.
    if slices > 0 && !shared.control.borrow().draining.is_empty() {
        let utilization = shared.upstream.state.borrow().utilization();
        log::info!(slices = slices, used_percent = (utilization * 100.0) as u64;
            "moving slices because of load");
        shared.control.borrow_mut().last_rebalance = now;
    }
}

fn log_load(shared: &Shared, now: Moment) {
    let state = shared.upstream.state.borrow();
    log::debug!(used_percent = (state.utilization() * 100.0) as u64,
        mean_ms = state.admission.mean_service_time().as_millis() as u64,
        running = state.admission.running(), waiting = state.admission.waiting(),
        served = state.grants.served_count(now); "load");
}

/// Slices to move now and their new owners; empty while earlier moves drain or settle.
fn planned_moves(shared: &Shared, now: Moment) -> BTreeMap<SliceId, BootId> {
    let control = shared.control.borrow();
    let settling_time = shared.settings.heartbeat * SETTLING_HEARTBEATS;
    let Some(me) = control.node.as_ref().map(|node| node.me()) else { return BTreeMap::new() };
    if now < control.last_rebalance + settling_time || !control.draining.is_empty() {
        return BTreeMap::new();
    }
    let state = shared.upstream.state.borrow();
    let record = &state.serving.record;
    let others = record
        .members
        .iter()
        .filter(|(id, member)| **id != me && !member.leaving && !control.excluded.contains(id));
    let others: Vec<MemberLoad> = others
        .filter_map(|(id, member)| {
            let (utilization, request_cost) = shared.peers.get(member.caller).utilization(now)?;
            Some(MemberLoad { member: *id, utilization, request_cost })
        })
        .collect();
    let rate = |slice| SliceLoad { slice, rate: state.meter.rate(slice) };
    let slices: Vec<SliceLoad> = record.slices_of(me).map(rate).collect();
    let own = MemberLoad {
        member: me,
        utilization: state.utilization(),
        request_cost: state.request_cost(),
    };
    plan_slice_moves(own, &slices, &others).into_iter().collect()
}
