//! Heartbeats of the upstream and the grants in the replies.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use rattanarch_adapter::Grant;
use rattanarch_adapter::Heartbeat;
use rattanarch_adapter::HeartbeatReply;
use rattanarch_adapter::UpstreamCall;
use rattanarch_adapter::decode_heartbeat;
use rattanarch_adapter::upstream_call;
use rattanarch_ownership::SliceGrant;
use rattanarch_types::Moment;
use rattanarch_types::SliceId;

use crate::connection::Handler;
use crate::connection::HeldBody;
use crate::connection::Listener;
use crate::connection::ResponseBody;
use crate::control;
use crate::process::Shared;
use crate::request::responses;
use crate::upstream::Life;
use crate::upstream::UpstreamState;
use crate::upstream::check_if_due;
use crate::upstream::in_flight::record_end;
use crate::upstream::life::HeartbeatOrder;
use crate::upstream::life::LeavingSource;
use crate::upstream::log_grant_changes;
use crate::upstream::pace;
use crate::upstream::start_waiting;

/// Largest heartbeat that is read, in bytes: enough for a row for each slice and more.
const MAX_HEARTBEAT: usize = 256 << 10;

/// Longest time that the reply to a heartbeat waits for a lease. The upstream accepts a reply within a second; the rest
/// is left for a busy machine. The wait is also limited to half a heartbeat interval, so that a reply precedes the next
/// heartbeat.
const MAX_LEASE_WAIT: Duration = Duration::from_millis(600);

/// Handles the heartbeats and the deregistration of the upstream.
pub(crate) struct HeartbeatHandler(pub(crate) Rc<Shared>);

impl Handler for HeartbeatHandler {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let call = upstream_call(request.uri().path());
        let body =
            HeldBody::read((&self.0.held, Listener::Upstream), request.into_body(), MAX_HEARTBEAT)
                .await;
        let Ok(body) = body else { return responses::json(StatusCode::BAD_REQUEST, String::new()) };
        let body = body.to_bytes();
        match call {
            Some(UpstreamCall::Heartbeat(id)) => handle_heartbeat(&self.0, &id, &body).await,
            Some(UpstreamCall::Deregister(id)) => deregister(&self.0, &id),
            None => responses::json(StatusCode::NOT_FOUND, String::new()),
        }
    }
}

async fn handle_heartbeat(shared: &Rc<Shared>, id: &str, body: &[u8]) -> Response<ResponseBody> {
    let beat = match decode_heartbeat(body) {
        Ok(beat) => beat,
        Err(error) => return reject(shared, id, &error),
    };
    let settings = &shared.settings;
    if beat.service != settings.service || beat.address != settings.upstream {
        return reject(shared, id, &"it belongs to another upstream");
    }
    let now = shared.now();
    let order = shared.upstream.state.borrow().life.as_ref().map(|life| life.order_of(id, &beat));
    match order {
        Some(HeartbeatOrder::EndedLife) => {
            shared.meters.heartbeat("ended life");
            log::info!(life:% = id, born = beat.started_at_ms; "heartbeat of an ended upstream");
            return responses::json(StatusCode::CONFLICT, "{}".to_owned());
        }
        // The later heartbeat counts; this one renews no grant.
        Some(HeartbeatOrder::Overtaken) => {
            shared.meters.heartbeat("overtaken");
            return responses::json(StatusCode::OK, "{}".to_owned());
        }
        Some(HeartbeatOrder::Newer) => {}
        Some(HeartbeatOrder::NewLife) | None => begin_life(shared, id, &beat, now),
    }
    shared.meters.heartbeat("taken");
    apply(shared, &beat, now);
    check_if_due(shared);
    control::handle_heartbeat(shared, &beat);
    control::open_release_window(shared);
    shared.state_changed.notify_waiters();
    start_waiting(shared);
    wait_for_lease(shared).await;
    if !is_newest(shared, id, beat.sequence) {
        return responses::json(StatusCode::OK, "{}".to_owned());
    }
    let reply = grant_reply(shared, beat.sequence);
    responses::json(StatusCode::OK, reply)
}

/// Waits for the lease of a member that is about to get one.
///
/// Grants are sent in replies to heartbeats only. A daemon that has just started receives a heartbeat before it has
/// joined, 0.1 to 0.2 s before its lease: without this wait its keys would be unserved until the next heartbeat.
async fn wait_for_lease(shared: &Shared) {
    let max_wait = MAX_LEASE_WAIT.min(shared.settings.heartbeat / 2);
    let lease = async {
        loop {
            let changed = shared.state_changed.notified();
            if !awaits_lease(shared) {
                return;
            }
            changed.await;
        }
    };
    // Without a lease in time, the reply to the next heartbeat carries the grants.
    let _ = tokio::time::timeout(max_wait, lease).await;
}

fn awaits_lease(shared: &Shared) -> bool {
    let state = shared.upstream.state.borrow();
    let stays = state.life.as_ref().is_some_and(|life| life.leaving.is_none());
    let leased = state.serving.lease_end.is_some_and(|end| shared.now() < end);
    // While the configuration is unknown, the service may be sliced by key.
    let keyed = state.keyed || shared.knowledge.borrow().routes().is_none();
    keyed && stays && !leased
}

/// Whether the heartbeat `sequence` of the life `id` is still the latest.
fn is_newest(shared: &Shared, id: &str, sequence: u64) -> bool {
    let state = shared.upstream.state.borrow();
    state.life.as_ref().is_some_and(|life| life.id == id && life.sequence == sequence)
}

fn reject(shared: &Shared, id: &str, reason: &dyn std::fmt::Display) -> Response<ResponseBody> {
    shared.meters.heartbeat("rejected");
    log::warn!(life:% = id, reason:% = reason; "heartbeat rejected");
    responses::json(StatusCode::BAD_REQUEST, "{}".to_owned())
}

fn begin_life(shared: &Rc<Shared>, id: &str, beat: &Heartbeat, now: Moment) {
    let ended = shared.upstream.state.borrow().life.as_ref().map(Life::key);
    if let Some(ended) = &ended {
        record_end(shared, ended);
    }
    let first = ended.is_none();
    let mut state = shared.upstream.state.borrow_mut();
    state.life = Some(Life::new(id, beat, now));
    state.admission.set_rate_limit(now, None);
    state.admission.begin_life(now);
    pace::report_changes(shared, &mut state);
    drop(state);
    shared.upstream.pool.clear();
    log::info!(life:% = id, born = beat.started_at_ms, slots = beat.slots, first = first; "upstream started");
    control::begin_life(shared, first, beat);
}

/// Updates the state of the upstream from a heartbeat.
fn apply(shared: &Shared, beat: &Heartbeat, now: Moment) {
    let cold_rate = pace::cold_rate(shared);
    let mut state = shared.upstream.state.borrow_mut();
    let state = &mut *state;
    state.admission.set_slots(u32::from(beat.slots));
    if !beat.cold_time_left.is_zero() {
        state.admission.set_cold(now, beat.cold_time_left, cold_rate);
    }
    pace::report_changes(shared, state);
    if let Some(life) = &mut state.life {
        life.sequence = beat.sequence;
        life.last_heartbeat = now;
        life.refused = None;
        life.ended = false;
        if beat.leaving {
            life.leave(now, LeavingSource::Heartbeat);
        }
    }
    // Grants that have expired end by that, not by the heartbeat.
    log_grant_changes(shared, state);
    let slices = state.slices();
    let mut held = vec![false; usize::from(slices)];
    for range in &beat.held {
        for slice in slices_overlapping(slices, range.first, range.last) {
            held[usize::from(slice)] = true;
        }
    }
    state.grants.apply_heartbeat(now, beat.sequence, |slice| held[usize::from(slice)]);
}

/// Number of keys in a slice.
fn slice_width(slices: SliceId) -> u32 {
    (u32::from(u16::MAX) + 1) / u32::from(slices.max(1))
}

/// First and last key of `slice`.
pub(super) fn keys_in(slices: SliceId, slice: SliceId) -> (u16, u16) {
    let first = u32::from(slice) * slice_width(slices);
    (first as u16, (first + slice_width(slices) - 1) as u16)
}

/// Slices all of whose keys are from `first` to `last`.
pub(crate) fn slices_within(slices: SliceId, first: u16, last: u16) -> std::ops::Range<SliceId> {
    let width = slice_width(slices);
    let (first, end) = (u32::from(first), u32::from(last) + 1);
    (first.div_ceil(width) as SliceId)..((end / width).min(u32::from(slices)) as SliceId)
}

/// Slices with any key from `first` to `last`.
fn slices_overlapping(slices: SliceId, first: u16, last: u16) -> std::ops::Range<SliceId> {
    let width = slice_width(slices);
    let end = (u32::from(last) / width + 1).min(u32::from(slices));
    ((u32::from(first) / width) as SliceId)..(end as SliceId)
}

impl UpstreamState {
    /// Number of slices.
    pub(crate) fn slices(&self) -> SliceId {
        self.running.len() as SliceId
    }
}

fn deregister(shared: &Rc<Shared>, id: &str) -> Response<ResponseBody> {
    let now = shared.now();
    let mut state = shared.upstream.state.borrow_mut();
    if let Some(life) = state.life.as_mut().filter(|life| life.id == id) {
        life.leave(now, LeavingSource::Deregistration);
    }
    drop(state);
    control::maintain(shared);
    responses::json(StatusCode::OK, "{}".to_owned())
}

/// Reply to the heartbeat `sequence`, with the grants of the upstream.
fn grant_reply(shared: &Shared, sequence: u64) -> String {
    let max_hold = shared.bounds.get().max_hold;
    let wait = shared.control.borrow().restore_wait;
    let mut state = shared.upstream.state.borrow_mut();
    let state = &mut *state;
    let renewed = state.grants.renew(shared.now(), sequence, &state.serving, &wait, max_hold);
    let Some((grants, time)) = renewed.filter(|_| state.keyed) else { return "{}".to_owned() };
    let slices = state.slices();
    let rows = merge(slices, &grants);
    let (body, left_out) = HeartbeatReply { grants: Some((rows.clone(), time)) }.encode();
    if left_out > 0 {
        let first = rows[rows.len() - left_out].first;
        let omitted = grants.iter().filter(|grant| keys_in(slices, grant.slice).0 >= first);
        state.grants.withdraw(omitted.map(|grant| grant.slice));
        log::error!(rows = rows.len(), left_out = left_out; "grants too large for a heartbeat reply");
    }
    log_grant_changes(shared, state);
    body
}

/// Merges neighbouring slices with the same fence and handover into ranges of keys.
fn merge(slices: SliceId, grants: &[SliceGrant]) -> Vec<Grant> {
    let mut rows: Vec<Grant> = Vec::new();
    for grant in grants {
        let (first, last) = keys_in(slices, grant.slice);
        let handover = grant.handover.clone().unwrap_or_default();
        let extends_last = rows.last().is_some_and(|row| {
            row.last.checked_add(1) == Some(first)
                && row.fence == grant.fence
                && row.handover == handover
        });
        match rows.last_mut().filter(|_| extends_last) {
            Some(row) => row.last = last,
            None => rows.push(Grant { first, last, fence: grant.fence, handover }),
        }
    }
    rows
}
