//! Choice of the daemon that a request is sent to.

use std::net::SocketAddr;
use std::rc::Rc;

use rattanarch_process::random;
use rattanarch_routing::Candidate;
use rattanarch_routing::ResponseSize;
use rattanarch_routing::choose_instance;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;
use rattanarch_types::Version;

use crate::process::Shared;
use crate::request::Call;
use crate::request::Reason;
use crate::request::Refusal;
use crate::upstream::UpstreamState;

/// The daemon that a request is sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Target {
    /// Address where the daemon accepts forwarded requests.
    pub(crate) address: SocketAddr,
    /// Member of the service's record.
    pub(crate) member: BootId,
    /// Whether the member is this process.
    pub(crate) own: bool,
    /// Whether the member is in this data centre.
    pub(crate) local: bool,
    /// Version of the record by which it was chosen.
    pub(crate) version: Version,
}

/// Finds the daemon for `call`: the owner of its key, or for a service without keys the best instance
/// that is not among `tried`.
///
/// # Errors
/// The reason why there is none. The request has not run.
pub(crate) fn find(shared: &Shared, call: &Call, tried: &[SocketAddr]) -> Result<Target, Refusal> {
    let record = shared.knowledge.borrow().record(&call.service).cloned();
    let Some(record) = record else { return Err(Reason::NoInstance.into()) };
    if record.slice_count() == 0 {
        return choose_unkeyed(shared, &record, tried, call.size)
            .map(|(id, member)| target(shared, &record, id, member))
            .ok_or_else(|| Reason::NoInstance.into());
    }
    let Some(key) = call.key else { return Err(Reason::NoKey.into()) };
    let owner = record.owner_of(UpstreamState::hash(key));
    let found = owner.and_then(|id| Some((id, record.members.get(&id)?)));
    let Some((id, member)) = found else { return Err(Reason::Unowned.into()) };
    let target = target(shared, &record, id, member);
    match shared.peers.get(target.address).backoff_left(shared.now()).filter(|_| !target.own) {
        Some(left) => Err(Refusal::new(Reason::Silent, left)),
        None => Ok(target),
    }
}

fn target(shared: &Shared, record: &Record, id: BootId, member: &Member) -> Target {
    Target {
        address: member.caller,
        member: id,
        own: is_own(shared, member),
        local: is_local(shared, member),
        version: record.version,
    }
}

/// Whether `member` is this process.
fn is_own(shared: &Shared, member: &Member) -> bool {
    member.caller == shared.settings.listen.peers
}

/// Whether `member` is in this data centre.
fn is_local(shared: &Shared, member: &Member) -> bool {
    member.data_centre == shared.settings.data_centre
}

/// Chooses an instance of a service without keys. Members in backoff count only if all are.
fn choose_unkeyed<'a>(
    shared: &Shared,
    record: &'a Rc<Record>,
    tried: &[SocketAddr],
    size: ResponseSize,
) -> Option<(BootId, &'a Member)> {
    let now = shared.now();
    let evacuated = Rc::clone(shared.knowledge.borrow().evacuated());
    let is_eligible = |(id, member): &(BootId, &Member)| {
        !member.leaving
            && !shared.peers.get(member.caller).is_leaving(*id)
            && !evacuated.contains(&member.data_centre)
            && !tried.contains(&member.caller)
    };
    let members = record.members.iter().map(|(id, member)| (*id, member));
    let members: Vec<(BootId, &Member)> = members.filter(is_eligible).collect();
    let is_reachable = |(_, member): &(BootId, &Member)| {
        is_own(shared, member) || shared.peers.get(member.caller).backoff_left(now).is_none()
    };
    let reachable: Vec<(BootId, &Member)> = members.iter().copied().filter(is_reachable).collect();
    let members = if reachable.is_empty() { members } else { reachable };
    let candidates: Vec<Candidate> =
        members.iter().map(|(_, member)| candidate(shared, member)).collect();
    choose_instance(&candidates, size, random()).map(|index| members[index])
}

fn candidate(shared: &Shared, member: &Member) -> Candidate {
    let now = shared.now();
    let slots = u32::from(member.slots);
    if !is_own(shared, member) {
        let local = is_local(shared, member);
        return shared.peers.get(member.caller).candidate(now, local, slots);
    }
    let state = shared.upstream.state.borrow();
    let usable = state.life.as_ref().is_some_and(|life| life.refused.is_none());
    Candidate {
        local: true,
        slots: state.admission.forecast(now).concurrency,
        in_flight: state.admission.running() + state.admission.waiting(),
        recent_load: true,
        mean_time: state.admission.mean_service_time(),
        failure_ratio: if usable { 0.0 } else { 1.0 },
        cold: state.admission.is_cold(now),
        send_time: shared.uplink.backlog.borrow().expected_time(now),
        lag: shared.lag.get(),
        limit_interval: state.admission.limit_interval(),
    }
}
