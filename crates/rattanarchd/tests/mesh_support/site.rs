//! A small deployment.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use rattanarch_adapter_standins::Caller;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::KeyLedger;
use rattanarch_adapter_standins::Response;
use rattanarch_adapter_standins::Store;
use rattanarch_adapter_standins::Upstream;
use serde_json::Value;

use super::daemon::Addresses;
use super::daemon::Daemon;
use super::faulty_proxy::FaultSwitch;
use super::faulty_proxy::faulty_proxy;

/// A store, and machines with one upstream and one daemon each. The two lists are in the same order.
pub struct Site {
    pub store: Store,
    pub upstreams: Vec<Upstream>,
    pub daemons: Vec<Daemon>,
    /// What the upstreams have held.
    pub ledger: KeyLedger,
    caller: Caller,
}

/// Waits until `condition` holds; panics with `what` after 15 s.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(15);
    while !condition() {
        assert!(Instant::now() < end, "not within 15 s: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

impl Site {
    /// Starts machines for `desks` upstreams of [`DESK`], followed by `files` upstreams of [`FILES`], and
    /// waits until all keys are held.
    pub fn start(desks: usize, files: usize) -> Self {
        let store = Store::start();
        store.configure(5);
        let mut site = Self::empty(store);
        for index in 0..desks {
            site.add(DESK, &format!("desk-{index}"), &format!("centre-{}", index % 3));
        }
        for index in 0..files {
            site.add(FILES, &format!("files-{index}"), &format!("centre-{}", index % 3));
        }
        site.wait_served();
        site
    }

    /// Like [`Site::start`] without upstreams of [`FILES`], with slices that move by gain and cost.
    pub fn start_cost_based(desks: usize) -> Self {
        let store = Store::start();
        store.configure(5);
        let mut site = Self::empty(store);
        for index in 0..desks {
            site.add(DESK, &format!("desk-{index}"), &format!("centre-{}", index % 3));
            // Before it has joined, so that the record is left alone later.
            let daemon = &mut site.daemons[index];
            daemon.set_cost_based_moves();
            daemon.kill();
            daemon.restart();
        }
        site.wait_served();
        site
    }

    /// Creates a site without machines.
    pub fn empty(store: Store) -> Self {
        Self {
            store,
            upstreams: Vec::new(),
            daemons: Vec::new(),
            ledger: KeyLedger::default(),
            caller: Caller::default(),
        }
    }

    /// Adds a machine and starts its daemon and its upstream.
    pub fn add(&mut self, service: &str, instance: &str, centre: &str) {
        self.add_with_store(service, instance, centre, self.store.address);
    }

    /// Like [`Site::add`], for a daemon that reaches the store at the address `store`.
    pub fn add_with_store(
        &mut self,
        service: &str,
        instance: &str,
        centre: &str,
        store: SocketAddr,
    ) {
        let addresses = Addresses::allocate();
        let daemon = Daemon::start(instance, service, centre, addresses, store);
        let id = format!("i-{instance}-1");
        let upstream = Upstream::start(service, &id, addresses.upstream, addresses.control);
        upstream.record_in(&self.ledger);
        self.daemons.push(daemon);
        self.upstreams.push(upstream);
    }

    /// Like [`Site::add`], with a proxy between the daemon and its upstream; returns the switch of its fault.
    pub fn add_behind_proxy(&mut self, service: &str, instance: &str, centre: &str) -> FaultSwitch {
        let addresses = Addresses::allocate();
        let mut own = addresses.upstream;
        own.set_port(own.port() + 1_000);
        let daemon = Daemon::start(instance, service, centre, addresses, self.store.address);
        let id = format!("i-{instance}-1");
        let pair = (own, addresses.upstream);
        let upstream = Upstream::start_behind(service, &id, pair, addresses.control);
        let switch = faulty_proxy(addresses.upstream, own);
        self.daemons.push(daemon);
        self.upstreams.push(upstream);
        switch
    }

    /// Crashes the upstream of [`DESK`] at `index` and starts its next life under the id `id`.
    pub fn restart_upstream(&mut self, index: usize, id: &str) {
        self.upstreams[index].stop();
        self.start_upstream(index, id);
    }

    /// Starts the next life of the upstream of [`DESK`] at `index`, which has ended, under the id `id`.
    pub fn start_upstream(&mut self, index: usize, id: &str) {
        let addresses = self.daemons[index].addresses;
        let upstream = Upstream::start(DESK, id, addresses.upstream, addresses.control);
        upstream.record_in(&self.ledger);
        self.upstreams[index] = upstream;
    }

    /// Restarts all daemons for upstreams that send a heartbeat every `interval`.
    pub fn set_heartbeat_interval(&mut self, interval: Duration) {
        for daemon in &mut self.daemons {
            daemon.set_heartbeat_interval(&format!("{}ms", interval.as_millis()));
            daemon.kill();
            daemon.restart();
        }
        self.upstreams.iter().for_each(|upstream| upstream.set_heartbeat_interval(interval));
        self.wait_served();
    }

    /// Kills the daemon at `index` and starts it again; returns its control address once it listens there.
    pub fn restart_daemon(&mut self, index: usize) -> SocketAddr {
        self.daemons[index].kill();
        self.daemons[index].restart();
        let control = self.daemons[index].addresses.control;
        wait_until("the daemon listens", || TcpStream::connect(control).is_ok());
        control
    }

    /// Suspends the daemon at `index` for `duration`.
    pub fn pause_daemon(&self, index: usize, duration: Duration) {
        self.daemons[index].pause(duration);
        self.ledger.resume(self.daemons[index].addresses.upstream);
    }

    /// Asserts that upstreams took keys under rising fencing tokens only, and that no two held a key at once.
    pub fn assert_fenced(&self) {
        let violations = self.ledger.violations();
        assert!(violations.is_empty(), "{} takes, {violations:#?}", self.ledger.takes());
    }

    /// Waits until every daemon is ready, all keys are held and every member has witnesses.
    pub fn wait_served(&self) {
        wait_until("every daemon is ready", || {
            self.daemons.iter().all(|daemon| self.is_ready(daemon.addresses.ready))
        });
        wait_until("every key is held, and every member has witnesses", || {
            self.held_keys() == 65_536 && self.is_settled()
        });
    }

    /// Waits until the record of `service` has `count` members.
    pub fn wait_members(&self, service: &str, count: usize) {
        wait_until("the members are in the record", || {
            self.store.record(service).is_some_and(|record| {
                record["members"].as_array().is_some_and(|members| members.len() == count)
            })
        });
    }

    /// Replaces the address at which other daemons reach the daemon of `instance`, and waits until they
    /// have the new record.
    pub fn set_peer_address(&self, service: &str, instance: &str, address: SocketAddr) {
        let mut record = self.store.record(service).expect("the service has a record");
        let version = record["version"].as_u64().expect("version is a number") + 1;
        let members = record["members"].as_array_mut().expect("members are an array");
        let member = members.iter_mut().find(|member| member["instance"] == instance);
        member.expect("instance is a member")["caller"] = address.to_string().into();
        record["version"] = version.into();
        self.store.put_record(service, &record);
        // A new record reaches every daemon within half a second.
        std::thread::sleep(Duration::from_millis(500));
    }

    /// Returns the number of slices that `instance` owns in the record of `service`.
    pub fn owned_slices(&self, service: &str, instance: &str) -> u64 {
        let record = self.store.record(service).expect("the service has a record");
        let members = record["members"].as_array().expect("members are an array");
        let index = members.iter().position(|member| member["instance"] == instance);
        let groups = record["owners"].as_array().expect("owners are an array").iter();
        let owned = groups.filter(|group| group[1].as_u64() == index.map(|index| index as u64));
        owned.filter_map(|group| group[0].as_u64()).sum()
    }

    /// Whether every upstream of [`DESK`] is a member and holds keys, and has a witness unless it is the
    /// only one.
    fn is_settled(&self) -> bool {
        let Some(record) = self.store.record(DESK) else { return false };
        let members = record["members"].as_array().map(Vec::as_slice).unwrap_or_default();
        let alone = members.len() == 1;
        let witnessed = |member: &Value| {
            alone || member["witnesses"].as_array().is_some_and(|witnesses| !witnesses.is_empty())
        };
        let desks = self.upstreams.iter().filter(|upstream| upstream.is_keyed());
        desks.clone().all(|desk| desk.held_keys() > 0)
            && members.len() == desks.count()
            && members.iter().all(witnessed)
    }

    /// Returns the number of keys that all upstreams hold together.
    pub fn held_keys(&self) -> usize {
        self.upstreams.iter().map(Upstream::held_keys).sum()
    }

    /// Whether the daemon with the readiness address `ready` reports that it is ready.
    pub fn is_ready(&self, ready: SocketAddr) -> bool {
        self.caller.is_ready(ready)
    }

    /// Returns the metrics of a daemon as text.
    pub fn metrics(&self, daemon: usize) -> String {
        self.caller.metrics(self.daemons[daemon].addresses.metrics)
    }

    /// Returns the value of the first of a daemon's metrics whose name and labels begin with `name`.
    pub fn metric(&self, daemon: usize, name: &str) -> Option<i64> {
        let metrics = self.metrics(daemon);
        let line = metrics.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
    }

    /// Sends a GET request for `path` to `daemon`, as a caller on its machine does; `id` is the attempt id.
    pub fn get(&self, daemon: usize, path: &str, id: &str, key: u16) -> Response {
        self.caller.get(self.daemons[daemon].addresses.callers, path, id, key)
    }

    /// Like [`Site::get`], with the additional header fields `fields`.
    pub fn get_with(
        &self,
        daemon: usize,
        path: &str,
        id: &str,
        fields: &[(&str, &str)],
    ) -> Response {
        self.caller.get_with(self.daemons[daemon].addresses.callers, path, (id, 0), fields)
    }

    /// Like [`Site::get`], with a POST request and `body`.
    pub fn post(&self, daemon: usize, path: &str, id: &str, key: u16, body: &str) -> Response {
        self.caller.post(self.daemons[daemon].addresses.callers, path, id, key, body)
    }

    /// Returns the attempt ids of the requests that upstreams ran, in order for each upstream.
    pub fn run_ids(&self) -> Vec<String> {
        self.upstreams.iter().flat_map(Upstream::runs).map(|run| run.id).collect()
    }
}
