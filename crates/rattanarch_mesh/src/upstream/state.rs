//! State of the upstream, and which requests may be sent to it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rattanarch_adapter::Bounds;
use rattanarch_admission::AdmissionController;
use rattanarch_admission::BytesUnderWay;
use rattanarch_admission::SliceMeter;
use rattanarch_ownership::Grants;
use rattanarch_ownership::Serving;
use rattanarch_placement::LoadHistory;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;
use rattanarch_types::SliceId;
use rattanarch_types::slice_of;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::connection::Pool;
use crate::request::Reason;
use crate::upstream::Life;
use crate::upstream::ended_requests::EndedRequests;
use crate::upstream::in_flight::InFlight;

/// How long before the end of a bound the daemon stops sending: requests that were sent just before still
/// have to arrive, and timers fire late on a busy machine.
const BOUND_MARGIN: Duration = Duration::from_millis(400);

/// Heartbeats that an upstream misses before it counts as lost: single ones may be late.
const MISSED_HEARTBEAT_LIMIT: u32 = 3;

/// Interval between two checks whether the upstream is lost above which this process was paused, since they come
/// every tick. Missing heartbeats during a pause don't show that the upstream is lost.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// The upstream on this machine.
pub(crate) struct Upstream {
    pub(crate) pool: Rc<Pool>,
    pub(crate) state: RefCell<UpstreamState>,
    /// Whether a timer is set for the next request that the rate limit of the upstream allows.
    pub(crate) pace_timer: Cell<bool>,
    /// Whether a request in quarantine runs as a trial.
    pub(crate) trial: Cell<bool>,
    /// Whether a check runs whether the upstream has ended.
    pub(crate) end_check: Cell<bool>,
    /// Notified when bytes of requests under way are freed.
    pub(crate) bytes_freed: Notify,
}

/// Sends a waiting request its permit, or the reason why it is refused.
pub(crate) type PermitSender =
    oneshot::Sender<Result<crate::upstream::Permit, crate::request::Refusal>>;

/// A request that runs at the upstream. A caller may send it again meanwhile.
#[derive(Debug, Default)]
pub(crate) struct ActiveRequest {
    /// How many times it runs at once; at least 1.
    count: u32,
    /// Whether requests that the upstream makes on its behalf count as retries.
    pub(crate) retry: bool,
}

/// State of the upstream.
pub(crate) struct UpstreamState {
    /// The current life; `None` before the first heartbeat.
    pub(crate) life: Option<Life>,
    pub(crate) admission: AdmissionController<PermitSender>,
    /// Bodies of the requests under way to it, from before their admission to their ends.
    pub(crate) bytes: BytesUnderWay,
    pub(crate) grants: Grants,
    /// What the ownership protocol lets this member serve.
    pub(crate) serving: Serving,
    /// Whether the service is sliced by key.
    pub(crate) keyed: bool,
    /// Number of running requests by slice.
    pub(crate) running: Vec<u32>,
    /// Running requests by id.
    requests: HashMap<String, ActiveRequest>,
    /// Requests that ended a moment ago.
    ended: EndedRequests,
    /// Requests that the upstream has and has not answered.
    pub(crate) in_flight: InFlight,
    /// Load by slice.
    pub(crate) meter: SliceMeter,
    /// Utilization over the last seconds.
    pub(crate) history: LoadHistory,
    /// When slices that were last moved because of load are expected to be served by their next owners.
    pub(crate) expected_moves: BTreeMap<SliceId, Moment>,
    /// When it was last checked whether the upstream is lost.
    last_check: Moment,
    /// When this process last resumed after a pause.
    resumed_at: Moment,
}

/// Whether a request may be sent to the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Readiness {
    /// It may be sent now.
    Ready,
    /// Not yet, but possibly at the given time.
    NotYet(Reason, Moment),
    /// It may not be sent to this upstream.
    Refused(Reason),
}

impl Upstream {
    /// Creates the state of the upstream at `address`, before its first heartbeat.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let state = UpstreamState {
            life: None,
            admission: AdmissionController::new(1),
            bytes: BytesUnderWay::default(),
            grants: Grants::default(),
            serving: Serving::default(),
            keyed: false,
            running: Vec::new(),
            requests: HashMap::new(),
            ended: EndedRequests::default(),
            in_flight: InFlight::default(),
            meter: SliceMeter::default(),
            history: LoadHistory::default(),
            expected_moves: BTreeMap::new(),
            last_check: Moment::ZERO,
            resumed_at: Moment::ZERO,
        };
        let pool = Rc::new(Pool::to_upstream(address));
        Self {
            pool,
            state: RefCell::new(state),
            pace_timer: Cell::new(false),
            trial: Cell::new(false),
            end_check: Cell::new(false),
            bytes_freed: Notify::new(),
        }
    }
}

impl UpstreamState {
    /// Clears the grants of an earlier life. An earlier daemon process may have granted any slice until `until`.
    pub(crate) fn reset_grants(&mut self, now: Moment, slices: SliceId, until: Moment) {
        self.meter = SliceMeter::new(slices, now);
        self.history = LoadHistory::default();
        self.expected_moves.clear();
        self.grants = Grants::new(slices, until);
        self.running.resize(usize::from(slices), 0);
        self.serving = Serving::default();
    }

    /// Hash of a key, whose bits are the leading ones, so that neighbouring keys are in one slice.
    pub(crate) fn hash(key: u16) -> KeyHash {
        KeyHash::from(key) << (KeyHash::BITS - u16::BITS)
    }

    /// The slice of `key`.
    pub(crate) fn slice(&self, key: u16) -> SliceId {
        slice_of(Self::hash(key), self.slices())
    }

    /// Whether a request for `key` may be sent now. `evacuated` is when the data centre became known as evacuated;
    /// `beat` is the heartbeat interval.
    pub(crate) fn readiness(
        &self,
        now: Moment,
        key: Option<u16>,
        evacuated: Option<Moment>,
        (bounds, beat): (&Bounds, Duration),
    ) -> Readiness {
        let Some(life) = &self.life else { return Readiness::Refused(Reason::NoUpstream) };
        if life.refused.is_some() {
            return Readiness::Refused(Reason::NoUpstream);
        }
        let over = |since: Moment, bound: Duration| now + BOUND_MARGIN >= since + bound;
        if let Some(leaving) = life.leaving
            && (!self.keyed || over(leaving, bounds.drain))
        {
            return Readiness::Refused(Reason::Draining);
        }
        if let Some(since) = evacuated
            && (!self.keyed || over(since, bounds.evacuate / 2))
        {
            return Readiness::Refused(Reason::Evacuated);
        }
        match key.filter(|_| self.keyed) {
            Some(key) => self.key_readiness(now, key, life.last_heartbeat + beat),
            None if self.keyed => Readiness::Refused(Reason::NoKey),
            None => Readiness::Ready,
        }
    }

    /// Whether a request for `key` of a sliced service may be sent; the next heartbeat is due at `beat`.
    fn key_readiness(&self, now: Moment, key: u16, beat: Moment) -> Readiness {
        use rattanarch_ownership::Refusal;
        // The reply to the next heartbeat renews the grants.
        let next = beat.max(now + MIN_RECHECK);
        match self.serving.check(now, Self::hash(key)) {
            Ok(()) if self.grants.is_served(now, self.slice(key)) => Readiness::Ready,
            Ok(()) => Readiness::NotYet(Reason::NoGrant, next),
            Err(Refusal::LeaseEnded) => Readiness::NotYet(Reason::LeaseEnded, next),
            Err(Refusal::Moving) => {
                let expected = self.expected_moves.get(&self.slice(key)).copied();
                let expected = expected.filter(|expected| *expected > now).unwrap_or(next);
                Readiness::NotYet(Reason::Moving, expected)
            }
            Err(Refusal::Elsewhere(_)) => Readiness::Refused(Reason::NotOwner),
            Err(Refusal::Unowned) => Readiness::Refused(Reason::Unowned),
        }
    }

    /// Ratio of the upstream's capacity that one request a second uses.
    pub(crate) fn request_cost(&self) -> f64 {
        self.admission.time_per_request().as_secs_f64()
    }

    /// Offered load as a ratio of the upstream's capacity; above 1 if the capacity doesn't suffice.
    pub(crate) fn utilization(&self) -> f64 {
        self.meter.total_rate() * self.request_cost()
    }

    /// The running request on whose behalf the upstream makes the request `id`, if `id` begins with its id.
    /// Requests without a known parent count as requests of callers.
    pub(crate) fn parent_request(&self, id: &str) -> Option<&ActiveRequest> {
        parent_ids(id).find_map(|parent| self.requests.get(parent))
    }

    /// Whether the upstream may make the request `id` on behalf of a request that ended a moment ago.
    pub(crate) fn has_ended_parent(&self, now: Moment, id: &str) -> bool {
        parent_ids(id).any(|parent| self.ended.contains(now, parent))
    }

    /// Records that the request `id` for `key` starts to run; `retry` says whether it is a retry.
    pub(crate) fn start_request(&mut self, id: &str, key: Option<u16>, retry: bool) {
        let request = self.requests.entry(id.to_owned()).or_default();
        request.count += 1;
        request.retry |= retry;
        if let Some(running) = self.running_for(key) {
            *running += 1;
        }
    }

    /// Records that the request `id` for `key` has ended.
    pub(crate) fn end_request(&mut self, now: Moment, id: &str, key: Option<u16>) {
        if let Some(request) = self.requests.get_mut(id) {
            request.count -= 1;
            if request.count == 0 {
                self.requests.remove(id);
                self.ended.add(now, id);
            }
        }
        if let Some(running) = self.running_for(key) {
            *running = running.saturating_sub(1);
        }
    }

    fn running_for(&mut self, key: Option<u16>) -> Option<&mut u32> {
        let slice = self.slice(key?);
        self.running.get_mut(usize::from(slice))
    }

    /// Whether no request for `slice` runs and the upstream can't hold it any more.
    pub(crate) fn is_drained(&self, now: Moment, slice: SliceId) -> bool {
        let is_running = self.running.get(usize::from(slice)).is_some_and(|running| *running > 0);
        !is_running && !self.grants.may_hold(now, slice)
    }

    /// Whether the upstream refuses connections or has missed too many heartbeats; `beat` is the heartbeat interval.
    pub(crate) fn is_lost(&mut self, now: Moment, beat: Duration) -> bool {
        if now.saturating_sub(self.last_check) > PAUSE_THRESHOLD {
            self.resumed_at = now;
        }
        self.last_check = now;
        let Some(life) = &self.life else { return false };
        life.refused.is_some()
            || now >= life.last_heartbeat.max(self.resumed_at) + beat * MISSED_HEARTBEAT_LIMIT
    }
}

/// Maximum number of parents that are considered for one request: nested calls are a few levels deep, and looking up
/// an id takes time proportional to its length.
const MAX_NESTING: usize = 8;

/// Possible ids of the request on whose behalf the request `id` is made, the closest first: the parent may itself be a
/// nested call, whose id has a dot.
fn parent_ids(id: &str) -> impl Iterator<Item = &str> {
    let first = id.split_once('.').map(|(first, _)| first);
    let closest = id.rmatch_indices('.').take(MAX_NESTING).map(|(index, _)| &id[..index]);
    closest.chain(first).filter(|parent| !parent.is_empty())
}

/// Shortest time after which a key that isn't ready is checked again.
const MIN_RECHECK: Duration = Duration::from_millis(50);
