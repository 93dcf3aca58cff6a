//! State that this daemon keeps about each other daemon.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rattanarch_routing::Candidate;
use rattanarch_types::BootId;
use rattanarch_types::Moment;

use crate::connection::Pool;
use crate::request::forward_headers::LeavingNotice;
use crate::request::forward_headers::LoadHeader;

/// EWMA weight of one outcome in the failure ratio: a mean over some eight requests.
const FAILURE_EWMA_WEIGHT: f64 = 0.12;

/// Time for which a peer that was not reached is avoided; doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Limits the backoff to 4 s, in which a lost member is removed from the record.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Age up to which a report's queue lengths count; after that, only requests in flight from here do.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(400);

/// Age up to which a report's utilization counts: it is a mean over seconds.
const UTILIZATION_LIFETIME: Duration = Duration::from_secs(3);

/// Other daemons by the address where they accept requests.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: RefCell<HashMap<SocketAddr, Rc<Peer>>>,
}

/// One other daemon.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) pool: Rc<Pool>,
    /// Requests sent to it whose response has not begun.
    pub(crate) in_flight: Cell<u32>,
    load: Cell<Option<(Moment, LoadHeader)>>,
    /// EWMA of the requests that ended badly, 0 to 1.
    failure_ratio: Cell<f64>,
    /// Time until which it is avoided.
    backoff_until: Cell<Moment>,
    /// Number of consecutive times that it could not be reached.
    unreachable_count: Cell<u32>,
    /// The last life of its upstream that has said that it is leaving.
    leaving: RefCell<Option<LeavingLife>>,
}

/// A life of a peer's upstream that has said that it is leaving in a response which this daemon has passed on.
#[derive(Clone, Debug)]
struct LeavingLife {
    /// Written form of the life's key.
    life: String,
    /// Member whose upstream it was.
    member: BootId,
    /// When the first such response arrived.
    since: Moment,
}

impl Peers {
    /// The peer at `address`.
    pub(crate) fn get(&self, address: SocketAddr) -> Rc<Peer> {
        let mut peers = self.peers.borrow_mut();
        Rc::clone(peers.entry(address).or_insert_with(|| Rc::new(Peer::new(address))))
    }

    /// The peer at `address`, if this daemon has exchanged anything with it.
    pub(crate) fn known(&self, address: SocketAddr) -> Option<Rc<Peer>> {
        self.peers.borrow().get(&address).cloned()
    }

    /// Removes peers that are neither members nor have requests in flight.
    pub(crate) fn retain(&self, is_member: impl Fn(SocketAddr) -> bool) {
        self.peers
            .borrow_mut()
            .retain(|address, peer| is_member(*address) || peer.in_flight.get() > 0);
    }

    /// Number of connections opened to all peers so far.
    pub(crate) fn connections_opened(&self) -> u64 {
        self.peers.borrow().values().map(|peer| peer.pool.opened()).sum()
    }
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pool: Rc::new(Pool::to_peer(address)),
            in_flight: Cell::new(0),
            load: Cell::new(None),
            failure_ratio: Cell::new(0.0),
            backoff_until: Cell::new(Moment::ZERO),
            unreachable_count: Cell::new(0),
            leaving: RefCell::new(None),
        }
    }

    /// Records that the life `life` of this peer's upstream, while the peer is `member`, has said that it is leaving.
    pub(crate) fn record_leaving(&self, now: Moment, life: String, member: BootId) {
        let mut leaving = self.leaving.borrow_mut();
        let known = leaving.as_ref().filter(|known| known.life == life);
        let since = known.map_or(now, |known| known.since);
        if known.is_none() {
            log::info!(peer:% = self.address, life:% = life; "upstream of a peer is leaving");
        }
        *leaving = Some(LeavingLife { life, member, since });
    }

    /// Whether the upstream of this peer has said that it is leaving, and the peer is still `member`.
    pub(crate) fn is_leaving(&self, member: BootId) -> bool {
        self.leaving.borrow().as_ref().is_some_and(|leaving| leaving.member == member)
    }

    /// What the peer has to be told of its upstream's leaving, since it may have started after it passed on the
    /// response that says so.
    pub(crate) fn leaving_notice(&self, now: Moment) -> Option<LeavingNotice> {
        let leaving = self.leaving.borrow();
        let LeavingLife { life, since, .. } = leaving.as_ref()?;
        Some(LeavingNotice { life: life.clone(), age: now.saturating_sub(*since) })
    }

    /// Counts the end of a request at this peer, and ends its backoff if it reported its load.
    pub(crate) fn record_outcome(&self, now: Moment, good: bool, load: Option<LoadHeader>) {
        let outcome = if good { 0.0 } else { 1.0 };
        let ratio = self.failure_ratio.get();
        self.failure_ratio.set(ratio + (outcome - ratio) * FAILURE_EWMA_WEIGHT);
        if let Some(load) = load {
            self.load.set(Some((now, load)));
        }
        if load.is_some() {
            self.backoff_until.set(Moment::ZERO);
            self.unreachable_count.set(0);
        }
    }

    /// Avoids this peer for a growing time, after it could not be reached.
    pub(crate) fn back_off(&self, now: Moment) {
        if self.backoff_left(now).is_some() {
            // Requests in flight together fail together: count them once.
            return;
        }
        self.backoff_until.set(
            now + INITIAL_BACKOFF * (1 << self.unreachable_count.get().min(MAX_BACKOFF_DOUBLINGS)),
        );
        self.unreachable_count.set(self.unreachable_count.get() + 1);
        self.pool.clear();
    }

    /// Time left of the backoff; `None` if there is none.
    pub(crate) fn backoff_left(&self, now: Moment) -> Option<Duration> {
        self.backoff_until.get().checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Load of its upstream, if reported recently, and the time since.
    pub(crate) fn recent_load(&self, now: Moment) -> Option<(LoadHeader, Duration)> {
        let (at, load) = self.load.get()?;
        let age = now.checked_sub(at).filter(|age| *age < UTILIZATION_LIFETIME)?;
        Some((load, age))
    }

    /// Time since its last report of its load, however old; `None` if it has not reported.
    pub(crate) fn report_age(&self, now: Moment) -> Option<Duration> {
        self.load.get().map(|(at, _)| now.saturating_sub(at))
    }

    /// This peer as a candidate for a request without a key.
    pub(crate) fn candidate(&self, now: Moment, local: bool, slots: u32) -> Candidate {
        let in_flight = self.in_flight.get();
        let report = self.load.get();
        let fresh = report.filter(|(at, _)| now.saturating_sub(*at) < LOAD_REPORT_LIFETIME);
        let running = fresh.map(|(_, load)| load.running + load.waiting);
        let recent = report.filter(|(at, _)| now.saturating_sub(*at) < UTILIZATION_LIFETIME);
        let mean_running = recent.map(|(_, load)| load.used_percent * load.slots / 100);
        let told = recent.map(|(_, load)| load.concurrency).filter(|told| *told > 0);
        let reported = running.or(mean_running).unwrap_or_default();
        Candidate {
            local,
            slots: told.or(report.map(|(_, load)| load.slots)).unwrap_or(slots),
            in_flight: reported.max(in_flight),
            recent_load: fresh.is_some(),
            mean_time: report.map(|(_, load)| load.mean_time).unwrap_or_default(),
            failure_ratio: self.failure_ratio.get(),
            cold: fresh.is_some_and(|(_, load)| load.cold),
            send_time: recent.map(|(_, load)| load.send_time).unwrap_or_default(),
            lag: recent.map(|(_, load)| load.lag).unwrap_or_default(),
            limit_interval: recent.map(|(_, load)| load.limit_interval).unwrap_or_default(),
        }
    }
}
