//! A small deployment.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rattanarch_adapter_standins::Caller;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Response;
use rattanarch_adapter_standins::Store;
use rattanarch_adapter_standins::Upstream;
use serde_json::Value;

use super::daemon::Addresses;
use super::daemon::Daemon;

/// A store, and machines with an upstream and a daemon each.
pub struct Site {
    pub store: Store,
    pub upstreams: Vec<Upstream>,
    pub daemons: Vec<Daemon>,
    caller: Caller,
}

/// Waits until `holds`, and fails with `what` after 15 s.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(15);
    while !holds() {
        assert!(Instant::now() < end, "not within 15 s: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

impl Site {
    /// Starts a desk of `desks` upstreams and `files` upstreams without keys, and waits until all keys
    /// are held.
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

    /// A site with no machines.
    pub fn empty(store: Store) -> Self {
        Self { store, upstreams: Vec::new(), daemons: Vec::new(), caller: Caller::default() }
    }

    /// Adds a machine.
    pub fn add(&mut self, service: &str, instance: &str, centre: &str) {
        self.add_at(service, instance, centre, self.store.address);
    }

    /// Adds a machine that reaches the store at `store`.
    pub fn add_at(&mut self, service: &str, instance: &str, centre: &str, store: SocketAddr) {
        let addresses = Addresses::draw();
        let daemon = Daemon::start(instance, service, centre, addresses, store);
        let id = format!("i-{instance}-1");
        let upstream = Upstream::start(service, &id, addresses.upstream, addresses.control);
        self.daemons.push(daemon);
        self.upstreams.push(upstream);
    }

    /// Waits until every daemon is ready and all keys are held.
    pub fn wait_served(&self) {
        wait_until("every daemon is ready", || {
            self.daemons.iter().all(|daemon| self.is_ready(daemon.addresses.ready))
        });
        wait_until("every key is held, and every member has witnesses", || {
            self.held_keys() == 65_536 && self.is_settled()
        });
    }

    /// Waits until `service` has `count` members in its record.
    pub fn wait_members(&self, service: &str, count: usize) {
        wait_until("the members are in the record", || {
            self.store.record(service).is_some_and(|record| {
                record["members"].as_array().is_some_and(|members| members.len() == count)
            })
        });
    }

    /// Lets daemons reach the one beside the upstream `instance` of `service` at `address` instead of its own, and
    /// waits until they know.
    pub fn reach_at(&self, service: &str, instance: &str, address: SocketAddr) {
        let mut record = self.store.record(service).expect("a record");
        let version = record["version"].as_u64().expect("a version") + 1;
        let members = record["members"].as_array_mut().expect("members");
        let member = members.iter_mut().find(|member| member["instance"] == instance);
        member.expect("the member")["caller"] = address.to_string().into();
        record["version"] = version.into();
        self.store.put_record(service, &record);
        // News reaches every daemon within half a second.
        std::thread::sleep(Duration::from_millis(500));
    }

    /// Whether every upstream of the desk is a member with keys, and a witness if it is not alone.
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

    /// Keys that upstreams hold, summed up.
    pub fn held_keys(&self) -> usize {
        self.upstreams.iter().map(Upstream::held_keys).sum()
    }

    /// Whether a daemon says that it is ready.
    pub fn is_ready(&self, ready: SocketAddr) -> bool {
        self.caller.is_ready(ready)
    }

    /// Metrics of a daemon.
    pub fn metrics(&self, daemon: usize) -> String {
        self.caller.metrics(self.daemons[daemon].addresses.metrics)
    }

    /// Asks `daemon` for `path` as a caller on its machine does.
    pub fn ask(&self, daemon: usize, path: &str, id: &str, key: u16) -> Response {
        self.caller.get(self.daemons[daemon].addresses.callers, path, id, key)
    }

    /// Sends `body` as [`Site::ask`] does.
    pub fn send(&self, daemon: usize, path: &str, id: &str, key: u16, body: &str) -> Response {
        self.caller.post(self.daemons[daemon].addresses.callers, path, id, key, body)
    }

    /// Ids of all runs at all upstreams.
    pub fn run_ids(&self) -> Vec<String> {
        self.upstreams.iter().flat_map(Upstream::runs).map(|run| run.id).collect()
    }
}
