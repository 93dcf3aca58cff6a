//! What is known of the upstream, and what it may be sent.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rattanarch_adapter::Bounds;
use rattanarch_admission::AdmissionController;
use rattanarch_admission::SliceMeter;
use rattanarch_ownership::Grants;
use rattanarch_ownership::Serving;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;
use rattanarch_types::SliceId;
use rattanarch_types::slice_of;
use tokio::sync::oneshot;

use crate::connection::Pool;
use crate::request::Reason;
use crate::upstream::Life;

/// Time before the end of a bound at which the daemon keeps it: what was sent just before still
/// has to arrive, and timers fire late on a busy machine.
const BOUND_MARGIN: Duration = Duration::from_millis(400);

/// Heartbeats that have to be missing before an upstream counts as lost, since single ones come late.
const LOST_BEATS: u32 = 3;

/// Gap between two looks at whether the upstream is lost, which come each tick, beyond which this process did not run:
/// silence in it is no evidence.
const PAUSE: Duration = Duration::from_millis(500);

/// The upstream on this machine.
pub(crate) struct Upstream {
    pub(crate) pool: Rc<Pool>,
    pub(crate) state: RefCell<UpstreamState>,
    /// Whether a timer runs for the pace of a cold upstream.
    pub(crate) timer: Cell<bool>,
}

/// Permission to run, or why not, for a request that waits.
pub(crate) type Waiter = oneshot::Sender<Result<crate::upstream::Permit, crate::request::Refusal>>;

/// A request that runs at the upstream; a caller may send it again while it does.
#[derive(Debug, Default)]
pub(crate) struct ActiveRequest {
    /// How often it runs; at least once.
    count: u32,
    /// Whether its calls count as repeats.
    pub(crate) retry: bool,
}

/// State of the upstream.
pub(crate) struct UpstreamState {
    /// The life that is known; `None` before the first heartbeat.
    pub(crate) life: Option<Life>,
    pub(crate) admission: AdmissionController<Waiter>,
    pub(crate) grants: Grants,
    /// What the ownership protocol lets this member serve.
    pub(crate) serving: Serving,
    /// Whether the service is divided by key.
    pub(crate) keyed: bool,
    /// Running requests by slice.
    pub(crate) running: Vec<u32>,
    /// Ids of the requests that run.
    runs: HashMap<String, ActiveRequest>,
    /// Load by slice.
    pub(crate) meter: SliceMeter,
    /// When it was last looked whether the upstream is lost.
    looked: Moment,
    /// When this process last came back from a pause.
    awake: Moment,
}

/// Whether a request may be sent to the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Standing {
    /// It may.
    Ready,
    /// Not yet; with luck at the given time.
    Later(Reason, Moment),
    /// Not here.
    Never(Reason),
}

impl Upstream {
    /// The upstream at `address`, of which nothing is known.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let state = UpstreamState {
            life: None,
            admission: AdmissionController::new(1),
            grants: Grants::default(),
            serving: Serving::default(),
            keyed: false,
            running: Vec::new(),
            runs: HashMap::new(),
            meter: SliceMeter::default(),
            looked: Moment::ZERO,
            awake: Moment::ZERO,
        };
        let pool = Rc::new(Pool::to_upstream(address));
        Self { pool, state: RefCell::new(state), timer: Cell::new(false) }
    }
}

impl UpstreamState {
    /// Forgets what was granted to an earlier life. An earlier process may have granted anything
    /// until `until`.
    pub(crate) fn reset_grants(&mut self, now: Moment, slices: SliceId, until: Moment) {
        self.meter = SliceMeter::new(slices, now);
        self.grants = Grants::new(slices, until);
        self.running.resize(usize::from(slices), 0);
        self.serving = Serving::default();
    }

    /// Hash of a key: its bits come first, so that neighbouring keys are in one slice.
    pub(crate) fn hash(key: u16) -> KeyHash {
        KeyHash::from(key) << (KeyHash::BITS - u16::BITS)
    }

    /// The slice of `key`.
    pub(crate) fn slice(&self, key: u16) -> SliceId {
        slice_of(Self::hash(key), self.slices())
    }

    /// Whether a request for `key` may be sent now. `evacuated` says since when the data centre is
    /// known to be out; `beat` is the time between two heartbeats.
    pub(crate) fn standing(
        &self,
        now: Moment,
        key: Option<u16>,
        evacuated: Option<Moment>,
        (bounds, beat): (&Bounds, Duration),
    ) -> Standing {
        let Some(life) = &self.life else { return Standing::Never(Reason::NoUpstream) };
        if life.refused.is_some() {
            return Standing::Never(Reason::NoUpstream);
        }
        let over = |since: Moment, bound: Duration| now + BOUND_MARGIN >= since + bound;
        if let Some(leaving) = life.leaving
            && (!self.keyed || over(leaving, bounds.drain))
        {
            return Standing::Never(Reason::Draining);
        }
        if let Some(since) = evacuated
            && (!self.keyed || over(since, bounds.evacuate / 2))
        {
            return Standing::Never(Reason::Evacuated);
        }
        match key.filter(|_| self.keyed) {
            Some(key) => self.key_standing(now, key, life.last_heartbeat + beat),
            None if self.keyed => Standing::Never(Reason::NoKey),
            None => Standing::Ready,
        }
    }

    /// Whether a request for `key` may be sent; the next heartbeat is due at `beat`.
    fn key_standing(&self, now: Moment, key: u16, beat: Moment) -> Standing {
        use rattanarch_ownership::Refusal;
        // The answer to the next heartbeat renews what the upstream holds.
        let next = beat.max(now + NEXT_LOOK);
        match self.serving.check(now, Self::hash(key)) {
            Ok(()) if self.grants.is_served(now, self.slice(key)) => Standing::Ready,
            Ok(()) => Standing::Later(Reason::NoGrant, next),
            Err(Refusal::LeaseEnded) => Standing::Later(Reason::LeaseEnded, next),
            Err(Refusal::Moving) => Standing::Later(Reason::Moving, next),
            Err(Refusal::Elsewhere(_)) => Standing::Never(Reason::NotOwner),
            Err(Refusal::Unowned) => Standing::Never(Reason::Unowned),
        }
    }

    /// Part of the upstream's capacity that one request a second takes.
    pub(crate) fn request_cost(&self) -> f64 {
        self.admission.mean_service_time().as_secs_f64() / f64::from(self.admission.slots())
    }

    /// Part of the upstream's capacity that is in use, or would be if it sufficed.
    pub(crate) fn utilization(&self) -> f64 {
        self.meter.total_rate() * self.request_cost()
    }

    /// The run for which the upstream makes the call `id`, which then begins with that one's id. Calls that
    /// can't be told by it count as requests of callers.
    pub(crate) fn parent_request(&self, id: &str) -> Option<&ActiveRequest> {
        let (parent, _) = id.split_once('.')?;
        self.runs.get(parent)
    }

    /// Counts the request `id`, which runs for `key`, as a `repeat` or not.
    pub(crate) fn begin(&mut self, id: &str, key: Option<u16>, repeat: bool) {
        let run = self.runs.entry(id.to_owned()).or_default();
        run.count += 1;
        run.retry |= repeat;
        if let Some(running) = self.running_of(key) {
            *running += 1;
        }
    }

    /// Counts its end.
    pub(crate) fn end(&mut self, id: &str, key: Option<u16>) {
        if let Some(run) = self.runs.get_mut(id) {
            run.count -= 1;
            if run.count == 0 {
                self.runs.remove(id);
            }
        }
        if let Some(running) = self.running_of(key) {
            *running = running.saturating_sub(1);
        }
    }

    fn running_of(&mut self, key: Option<u16>) -> Option<&mut u32> {
        let slice = self.slice(key?);
        self.running.get_mut(usize::from(slice))
    }

    /// Whether nothing for `slice` runs, and the upstream cannot hold it any more.
    pub(crate) fn is_drained(&self, now: Moment, slice: SliceId) -> bool {
        let runs = self.running.get(usize::from(slice)).is_some_and(|running| *running > 0);
        !runs && !self.grants.may_hold(now, slice)
    }

    /// Whether the upstream has ended without a word, or is not heard any more.
    pub(crate) fn is_lost(&mut self, now: Moment, beat: Duration) -> bool {
        if now.saturating_sub(self.looked) > PAUSE {
            self.awake = now;
        }
        self.looked = now;
        let Some(life) = &self.life else { return false };
        life.refused.is_some() || now >= life.last_heartbeat.max(self.awake) + beat * LOST_BEATS
    }
}

/// Shortest time after which it is worth looking again.
const NEXT_LOOK: Duration = Duration::from_millis(50);
