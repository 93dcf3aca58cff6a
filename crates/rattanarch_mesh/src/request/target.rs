//! Choice of the daemon that a request is sent to.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use rattanarch_process::random;
use rattanarch_quarantine::Verdict;
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
use crate::request::quarantine;
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
    let verdict = quarantine::check(shared, call);
    if let Verdict::Quarantined(left) = verdict {
        return Err(Refusal::new(Reason::Quarantined, left));
    }
    if record.slice_count() == 0 && verdict == Verdict::Trial {
        let trial = quarantine::trial_member(shared, &record, call);
        let found = trial.filter(|(_, member)| !tried.contains(&member.caller));
        return found
            .map(|(id, member)| target(shared, &record, id, member))
            .ok_or_else(|| Reason::Quarantined.into());
    }
    if record.slice_count() == 0 {
        return Instances::of(shared, &record, tried)
            .choose(call.size, random())
            .map(|(id, member)| target(shared, &record, id, member))
            .ok_or_else(|| Reason::NoInstance.into());
    }
    let Some(key) = call.key else { return Err(Reason::NoKey.into()) };
    let owner = record.owner_of(UpstreamState::hash(key));
    let found = owner.and_then(|id| Some((id, record.members.get(&id)?)));
    let Some((id, member)) = found else { return Err(Reason::Unowned.into()) };
    let target = target(shared, &record, id, member);
    match backoff_left(shared, member) {
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
pub(crate) fn is_own(shared: &Shared, member: &Member) -> bool {
    member.caller == shared.settings.listen.peers
}

/// Whether `member` is in this data centre.
fn is_local(shared: &Shared, member: &Member) -> bool {
    member.data_centre == shared.settings.data_centre
}

/// Time for which `member` is still avoided; `None` if it is not, or is this process.
fn backoff_left(shared: &Shared, member: &Member) -> Option<Duration> {
    if is_own(shared, member) {
        return None;
    }
    shared.peers.known(member.caller)?.backoff_left(shared.now())
}

/// Why a member of a service without keys is not considered for a request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Exclusion {
    /// It leaves its service.
    #[display("leaving")]
    Leaving,
    /// Its data centre is evacuated.
    #[display("evacuated")]
    Evacuated,
    /// The request has been sent there.
    #[display("tried")]
    Tried,
    /// It was not reached a moment ago, and others were.
    #[display("unreachable")]
    Unreachable,
}

/// Members of a service without keys, as candidates for one request.
pub(crate) struct Instances<'a> {
    members: Vec<(BootId, &'a Member)>,
    candidates: Vec<Candidate>,
    excluded: Vec<(&'a Member, Exclusion)>,
}

impl<'a> Instances<'a> {
    /// The members in `record` that are not among `tried`. Members in backoff count only if all are.
    pub(crate) fn of(shared: &Shared, record: &'a Record, tried: &[SocketAddr]) -> Self {
        let evacuated = Rc::clone(shared.knowledge.borrow().evacuated());
        let mut excluded = Vec::new();
        let mut members = Vec::new();
        for (id, member) in &record.members {
            let known = shared.peers.known(member.caller);
            let exclusion = if member.leaving || known.is_some_and(|peer| peer.is_leaving(*id)) {
                Exclusion::Leaving
            } else if evacuated.contains(&member.data_centre) {
                Exclusion::Evacuated
            } else if tried.contains(&member.caller) {
                Exclusion::Tried
            } else {
                members.push((*id, member));
                continue;
            };
            excluded.push((member, exclusion));
        }
        let is_reachable = |(_, member): &(BootId, &Member)| backoff_left(shared, member).is_none();
        if members.iter().any(is_reachable) {
            let (reachable, others) = members.into_iter().partition(is_reachable);
            members = reachable;
            let others: Vec<(BootId, &Member)> = others;
            excluded.extend(others.into_iter().map(|(_, member)| (member, Exclusion::Unreachable)));
        }
        let candidates = members.iter().map(|(_, member)| candidate(shared, member)).collect();
        Self { members, candidates, excluded }
    }

    /// The instance for one request whose response has `size`; `draw` is a random number.
    pub(crate) fn choose(&self, size: ResponseSize, draw: u64) -> Option<(BootId, &'a Member)> {
        choose_instance(&self.candidates, size, draw).map(|index| self.members[index])
    }

    /// The members that are considered.
    pub(crate) fn considered(&self) -> impl Iterator<Item = (BootId, &'a Member)> {
        self.members.iter().copied()
    }

    /// The other members, and why each is not considered.
    pub(crate) fn excluded(&self) -> impl Iterator<Item = (&'a Member, Exclusion)> {
        self.excluded.iter().copied()
    }
}

/// `member` as a candidate for a request without a key.
pub(crate) fn candidate(shared: &Shared, member: &Member) -> Candidate {
    let now = shared.now();
    let slots = u32::from(member.slots);
    if !is_own(shared, member) {
        let local = is_local(shared, member);
        return match shared.peers.known(member.caller) {
            Some(peer) => peer.candidate(now, local, slots),
            None => Candidate::unknown(local, slots),
        };
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
