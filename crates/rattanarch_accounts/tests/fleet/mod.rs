//! A fleet of daemons on a simulated network.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use rattanarch_accounts::QuotaClient;
use rattanarch_accounts::QuotaCoordinator;
use rattanarch_accounts::QuotaGrant;
use rattanarch_accounts::QuotaMember;
use rattanarch_accounts::QuotaRequest;
use rattanarch_accounts::QuotaRule;
use rattanarch_accounts::QuotaVerdict;
use rattanarch_accounts::RateLimit;
use rattanarch_types::FlowId;
use rattanarch_types::Moment;
use rattanarch_types::hash_key;

pub const DAEMONS: usize = 66;

/// Step of the simulation, which is also the time of a datagram on its way.
const STEP: Duration = Duration::from_millis(10);

pub const RULE: QuotaRule = QuotaRule { window: Duration::from_secs(5), excess: 0.1, slack: 20.0 };

/// An account and its demand in requests a second at each daemon.
pub struct Demand {
    pub flow: FlowId,
    pub limit: RateLimit,
    pub rates: Vec<f64>,
}

impl Demand {
    /// An account that usually sends `usual` requests a second: half of them at three daemons, the rest at all.
    pub fn new(name: &str, usual: f64) -> Self {
        let flow = hash_key(name);
        let limit = RateLimit::new(usual * 1.6, usual * 1.6).expect("limit is valid");
        let mut demand = Self { flow, limit, rates: Vec::new() };
        demand.place(usual, flow as usize);
        demand
    }

    /// Sets the demand to `rate`, half of it at three daemons from the position `at` on.
    pub fn place(&mut self, rate: f64, at: usize) {
        self.rates = vec![rate / 2.0 / DAEMONS as f64; DAEMONS];
        (0..3).for_each(|index| self.rates[(at % DAEMONS + index * 7) % DAEMONS] += rate / 6.0);
    }
}

enum Message {
    Request(QuotaRequest),
    Grant(QuotaGrant),
}

pub struct Fleet {
    pub now: Moment,
    pub demands: Vec<Demand>,
    /// Limits that each daemon knows, if they differ from those of the demands.
    pub old_limits: Vec<HashMap<FlowId, RateLimit>>,
    /// Side of the partition of each daemon.
    pub sides: Vec<u8>,
    /// Until when each daemon is paused.
    pub paused: Vec<Moment>,
    /// Every how many datagrams one is lost; 0 for none.
    pub loss: u64,
    /// Range of the time in milliseconds that each daemon's replies to requests take in addition: half of it before it
    /// handles the request, half until the grant arrives.
    pub delays: Vec<(u64, u64)>,
    pub sent: Vec<u64>,
    /// Times at which requests of each account ran, and the times at which they were refused.
    pub runs: HashMap<FlowId, Vec<Moment>>,
    pub refused: HashMap<FlowId, Vec<Moment>>,
    clients: Vec<QuotaClient<FlowId>>,
    coordinators: Vec<QuotaCoordinator>,
    network: VecDeque<(Moment, usize, usize, Message)>,
    draws: u64,
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, daemon as u16 + 1))
}

/// Id of the daemon as a member.
fn member(daemon: usize) -> QuotaMember {
    daemon as u64 * 1_000_003 + 17
}

impl Fleet {
    pub fn new(demands: Vec<Demand>) -> Self {
        let members: Vec<_> = (0..DAEMONS).map(member).collect();
        let client = |daemon| {
            let mut client = QuotaClient::new(RULE, member(daemon), daemon as u32);
            client.set_members(member(daemon), members.clone());
            client
        };
        let coordinator = |_| {
            let mut coordinator = QuotaCoordinator::new(RULE, Moment::ZERO);
            coordinator.set_daemons(DAEMONS);
            coordinator
        };
        Self {
            now: Moment::ZERO,
            demands,
            old_limits: vec![HashMap::new(); DAEMONS],
            sides: vec![0; DAEMONS],
            paused: vec![Moment::ZERO; DAEMONS],
            loss: 0,
            delays: vec![(0, 0); DAEMONS],
            sent: vec![0; DAEMONS],
            runs: HashMap::new(),
            refused: HashMap::new(),
            clients: (0..DAEMONS).map(client).collect(),
            coordinators: (0..DAEMONS).map(coordinator).collect(),
            network: VecDeque::new(),
            draws: 7,
        }
    }

    /// A number from 0 to 1 (a linear congruential generator, so that each run is the same).
    fn draw(&mut self) -> f64 {
        self.draws = self
            .draws
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.draws >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// The daemon that coordinates most groups.
    pub fn main_coordinator(&self) -> usize {
        let groups = |daemon: &usize| self.coordinators[*daemon].active_groups();
        (0..DAEMONS).max_by_key(groups).expect("there are daemons")
    }

    /// Number of coordinators that daemons regard as silent, summed over the daemons.
    pub fn silent(&self) -> usize {
        self.clients.iter().map(|client| client.silent().count()).sum()
    }

    /// Has `daemon` learn that `leaving` leaves.
    pub fn learn_leaving(&mut self, daemon: usize, leaving: usize) {
        let staying = (0..DAEMONS).filter(|other| *other != leaving).map(member);
        self.clients[daemon].set_members(member(daemon), staying.collect());
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for daemon in 0..DAEMONS {
                if self.now >= self.paused[daemon] {
                    self.coordinators[daemon].advance(self.now);
                    self.arrive(daemon);
                    self.poll(daemon);
                }
            }
        }
    }

    fn deliver(&mut self) {
        for _ in 0..self.network.len() {
            let Some((at, from, to, message)) = self.network.pop_front() else { return };
            if at > self.now || self.now < self.paused[to] {
                self.network.push_back((at, from, to, message));
                continue;
            }
            match message {
                Message::Request(request) => {
                    let limits = &self.old_limits[to];
                    let new = |flow| self.demands.iter().find(|demand| demand.flow == flow);
                    let limit =
                        |flow| limits.get(&flow).copied().or(new(flow).map(|demand| demand.limit));
                    let grant =
                        self.coordinators[to].handle(self.now, address(from), &request, limit);
                    self.send(to, from, Message::Grant(grant));
                }
                Message::Grant(grant) => {
                    let verdicts = self.clients[to].handle(self.now, &grant);
                    self.count(verdicts);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.sent[from] += u64::from(from != to);
        let lost = self.loss > 0 && self.draw() * self.loss as f64 <= 1.0;
        if self.sides[from] == self.sides[to] && !lost {
            let (least, most) = match message {
                Message::Request(_) => self.delays[to],
                Message::Grant(_) => self.delays[from],
            };
            let part = if most > 0 { self.draw() } else { 0.0 };
            let delay = (least as f64 + part * (most - least) as f64) / 2.0;
            let at = self.now + STEP + Duration::from_millis(delay as u64);
            self.network.push_back((at, from, to, message));
        }
    }

    fn arrive(&mut self, daemon: usize) {
        for index in 0..self.demands.len() {
            let Demand { flow, limit, ref rates } = self.demands[index];
            let mut expected = rates[daemon] * STEP.as_secs_f64();
            let limit = self.old_limits[daemon].get(&flow).copied().unwrap_or(limit);
            while expected > 0.0 {
                if self.draw() < expected.min(0.5) / 0.5 * 0.5 {
                    let verdict = self.clients[daemon].request(self.now, (flow, limit), flow);
                    self.count(verdict);
                }
                expected -= 0.5;
            }
        }
    }

    fn poll(&mut self, daemon: usize) {
        let output = self.clients[daemon].poll(self.now);
        self.count(output.verdicts);
        for (to, request) in output.messages {
            let to = (0..DAEMONS).find(|daemon| member(*daemon) == to).expect("it is a member");
            self.send(daemon, to, Message::Request(request));
        }
    }

    fn count(&mut self, verdicts: impl IntoIterator<Item = (FlowId, QuotaVerdict)>) {
        for (flow, verdict) in verdicts {
            let list = match verdict {
                QuotaVerdict::Admitted(_) => &mut self.runs,
                QuotaVerdict::Refused(_) => &mut self.refused,
            };
            list.entry(flow).or_default().push(self.now);
        }
    }

    /// Number of entries of `list` from `from` on.
    pub fn count_since(list: &HashMap<FlowId, Vec<Moment>>, flow: FlowId, from: Moment) -> usize {
        list.get(&flow).map_or(0, |times| times.iter().filter(|at| **at >= from).count())
    }

    /// Largest number of requests of `flow` that ran in one span of the rule's window that begins at `from` or later.
    pub fn most_in_window(&self, flow: FlowId, from: Moment) -> usize {
        let times = self.runs.get(&flow).map(Vec::as_slice).unwrap_or_default();
        let times: Vec<_> = times.iter().filter(|at| **at >= from).collect();
        let end = |first: Moment| times.partition_point(|at| **at <= first + RULE.window);
        (0..times.len()).map(|index| end(*times[index]) - index).max().unwrap_or_default()
    }

    /// Asserts the rule for every account and every span that begins at `from` or later.
    pub fn assert_bounded(&self, what: &str, from: Moment) {
        for demand in &self.demands {
            let (most, allowed) =
                (self.most_in_window(demand.flow, from), RULE.allowed(demand.limit));
            let rate = demand.limit.rate();
            eprintln!("{what}: rate {rate:.0}, most {most}, allowed {allowed:.0}");
            assert!(most as f64 <= allowed, "{what}: {most} of {allowed} in a window, rate {rate}");
        }
    }
}
