//! Other daemons, as far as this one has dealt with them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rattanarch_routing::Candidate;
use rattanarch_types::Moment;

use crate::connection::Pool;
use crate::request::mark::LoadMark;

/// Weight of a new outcome in the part of failed requests: some eight requests.
const FAILING_WEIGHT: f64 = 0.12;

/// How long a peer that could not be reached is taken to be away; doubled with each further time.
const AWAY_TIME: Duration = Duration::from_millis(500);

/// Doublings of that time: up to 4 s, in which a lost member leaves the record.
const MAX_DOUBLINGS: u32 = 3;

/// How long a report of load counts; after that, only what this daemon itself has sent.
const REPORT_LIFE: Duration = Duration::from_millis(400);

/// How long the part of its capacity that a peer said was in use counts: a mean over seconds.
const USED_LIFE: Duration = Duration::from_secs(3);

/// Other daemons by the address where they take requests.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: RefCell<HashMap<SocketAddr, Rc<Peer>>>,
}

/// One other daemon.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) pool: Rc<Pool>,
    /// Requests sent there and not answered.
    pub(crate) in_flight: Cell<u32>,
    load: Cell<Option<(Moment, LoadMark)>>,
    /// Part of the last requests that failed or were refused, 0 to 1.
    failing: Cell<f64>,
    /// Until when it is taken to be away.
    away: Cell<Moment>,
    /// Times in a row that it could not be reached.
    missed: Cell<u32>,
}

impl Peers {
    /// The peer at `address`.
    pub(crate) fn get(&self, address: SocketAddr) -> Rc<Peer> {
        let mut peers = self.peers.borrow_mut();
        Rc::clone(peers.entry(address).or_insert_with(|| Rc::new(Peer::new(address))))
    }

    /// Forgets peers that are not among `members`.
    pub(crate) fn retain(&self, is_member: impl Fn(SocketAddr) -> bool) {
        self.peers
            .borrow_mut()
            .retain(|address, peer| is_member(*address) || peer.in_flight.get() > 0);
    }

    /// Connections opened to all peers.
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
            failing: Cell::new(0.0),
            away: Cell::new(Moment::ZERO),
            missed: Cell::new(0),
        }
    }

    /// Notes how a request ended there.
    pub(crate) fn record_outcome(&self, now: Moment, good: bool, load: Option<LoadMark>) {
        let outcome = if good { 0.0 } else { 1.0 };
        let failing = self.failing.get();
        self.failing.set(failing + (outcome - failing) * FAILING_WEIGHT);
        if let Some(load) = load {
            self.load.set(Some((now, load)));
        }
        if load.is_some() {
            self.away.set(Moment::ZERO);
            self.missed.set(0);
        }
    }

    /// Notes that it could not be reached.
    pub(crate) fn back_off(&self, now: Moment) {
        if self.backoff_left(now).is_some() {
            // Requests that were on their way together miss it together.
            return;
        }
        self.away.set(now + AWAY_TIME * (1 << self.missed.get().min(MAX_DOUBLINGS)));
        self.missed.set(self.missed.get() + 1);
        self.pool.clear();
    }

    /// Until when it is taken to be away; `None` if it is not.
    pub(crate) fn backoff_left(&self, now: Moment) -> Option<Duration> {
        self.away.get().checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Part of its capacity in use, and the part that one request a second takes, if it has said so
    /// lately.
    pub(crate) fn utilization(&self, now: Moment) -> Option<(f64, f64)> {
        let (at, load) = self.load.get().filter(|(at, _)| now.saturating_sub(*at) < USED_LIFE)?;
        let share = load.mean.as_secs_f64() / f64::from(load.slots.max(1));
        (at <= now).then(|| (f64::from(load.used) / 100.0, share))
    }

    /// What it offers to a request without a key.
    pub(crate) fn candidate(&self, now: Moment, local: bool, slots: u32) -> Candidate {
        let in_flight = self.in_flight.get();
        let report = self.load.get();
        let fresh = report.filter(|(at, _)| now.saturating_sub(*at) < REPORT_LIFE);
        let running = fresh.map(|(_, load)| load.running + load.waiting);
        let used = report.filter(|(at, _)| now.saturating_sub(*at) < USED_LIFE);
        let mean = used.map(|(_, load)| load.used * load.slots / 100);
        let reported = running.or(mean).unwrap_or_default();
        Candidate {
            local,
            slots: report.map_or(slots, |(_, load)| load.slots),
            in_flight: reported.max(in_flight),
            recent_load: fresh.is_some(),
            mean_time: report.map(|(_, load)| load.mean).unwrap_or_default(),
            failure_ratio: self.failing.get(),
            cold: fresh.is_some_and(|(_, load)| load.cold),
            send_time: used.map(|(_, load)| load.sending).unwrap_or_default(),
            lag: used.map(|(_, load)| load.lag).unwrap_or_default(),
        }
    }
}
