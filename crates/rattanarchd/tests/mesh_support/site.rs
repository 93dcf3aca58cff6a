//! A small deployment.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use super::Daemon;
use super::Store;
use super::Upstream;
use super::daemon::Addresses;

/// What a caller got.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub stamped: bool,
    pub pause: Option<String>,
}

/// A store, and machines with an upstream and a daemon each.
pub struct Site {
    pub store: Store,
    pub upstreams: Vec<Upstream>,
    pub daemons: Vec<Daemon>,
    agent: ureq::Agent,
}

/// Waits until `holds`, and fails with `what` after ten seconds.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(15);
    while !holds() {
        assert!(Instant::now() < end, "not within 15 s: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The configuration at `version`: `/stock/` and `/hold/` go to the desk, `/files/` to the files.
pub fn configuration(version: u64) -> Value {
    let rule = |name: &str, kind: &str, priority: u8, service: &str| {
        json!({
            "name": name, "kind": kind, "priority": priority, "target_latency": "500ms",
            "match": { "path_prefix": format!("/{name}/") },
            "action": { "service": service, "timeout": "2000ms", "max_attempts": 2 },
        })
    };
    json!({
        "version": version,
        "listeners": [{ "host": "pound.example", "rules": [
            rule("stock", "safe", 2, "trade-desk"),
            rule("hold", "unsafe", 1, "trade-desk"),
            rule("files", "safe", 1, "pound-files"),
        ]}],
        "clusters": [
            { "name": "trade-desk", "sharded": true, "cold_start": "1s", "cold_per_s": 20.0 },
            { "name": "pound-files" },
        ],
    })
}

impl Site {
    /// Starts a desk of `desks` upstreams and `files` upstreams without keys, and waits until all keys
    /// are held.
    pub fn start(desks: usize, files: usize) -> Self {
        let store = Store::start();
        store.put("config", "main", &configuration(5));
        let mut site = Self::empty(store);
        for index in 0..desks {
            site.add("trade-desk", &format!("desk-{index}"), &format!("centre-{}", index % 3));
        }
        for index in 0..files {
            site.add("pound-files", &format!("files-{index}"), &format!("centre-{}", index % 3));
        }
        site.wait_served();
        site
    }

    /// A site with no machines.
    pub fn empty(store: Store) -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_secs(4)))
            .http_status_as_error(false)
            .build()
            .into();
        Self { store, upstreams: Vec::new(), daemons: Vec::new(), agent }
    }

    /// Adds a machine.
    pub fn add(&mut self, service: &str, instance: &str, centre: &str) {
        let addresses = Addresses::draw();
        let daemon = Daemon::start(instance, service, centre, addresses, self.store.address);
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

    /// Whether every upstream of the desk is a member with keys, and a witness if it is not alone.
    fn is_settled(&self) -> bool {
        let Some(record) = self.store.get("rattanarch-records", "trade-desk") else { return false };
        let members = record["members"].as_array().map(Vec::as_slice).unwrap_or_default();
        let alone = members.len() == 1;
        let witnessed = |member: &Value| {
            alone || member["witnesses"].as_array().is_some_and(|witnesses| !witnesses.is_empty())
        };
        let desks = self.upstreams.iter().filter(|upstream| upstream.is_desk());
        desks.clone().all(|desk| desk.keys() > 0)
            && members.len() == desks.count()
            && members.iter().all(witnessed)
    }

    /// Keys that upstreams hold, summed up.
    pub fn held_keys(&self) -> usize {
        self.upstreams.iter().map(Upstream::keys).sum()
    }

    /// Whether a daemon says that it is ready.
    pub fn is_ready(&self, ready: SocketAddr) -> bool {
        let answer = self.agent.get(format!("http://{ready}/readyz")).call();
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Metrics of a daemon.
    pub fn metrics(&self, daemon: usize) -> String {
        let address = self.daemons[daemon].addresses.metrics;
        let mut answer = self.agent.get(format!("http://{address}/metrics")).call().unwrap();
        answer.body_mut().read_to_string().unwrap()
    }

    /// Asks `daemon` for `path` as a caller on its machine does.
    pub fn ask(&self, daemon: usize, path: &str, id: &str, key: u16) -> Answer {
        let url = format!("http://{}{path}", self.daemons[daemon].addresses.callers);
        let request = self.agent.get(&url);
        let request = request.header("host", "pound.example").header("x-attempt-id", id);
        let request =
            request.header("x-deadline-ms", "2000").header("x-shard-key", key.to_string());
        answer(request.call())
    }

    /// Sends `body` as [`Site::ask`] does.
    pub fn send(&self, daemon: usize, path: &str, id: &str, key: u16, body: &str) -> Answer {
        let url = format!("http://{}{path}", self.daemons[daemon].addresses.callers);
        let request = self.agent.post(&url);
        let request = request.header("host", "pound.example").header("x-attempt-id", id);
        let request =
            request.header("x-deadline-ms", "2000").header("x-shard-key", key.to_string());
        answer(request.send(body))
    }

    /// Ids of all runs at all upstreams.
    pub fn run_ids(&self) -> Vec<String> {
        self.upstreams.iter().flat_map(Upstream::runs).map(|run| run.id).collect()
    }
}

fn answer(result: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Answer {
    let mut response = match result {
        Ok(response) => response,
        Err(error) => {
            return Answer { status: 0, body: error.to_string(), stamped: false, pause: None };
        }
    };
    let header = |name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let (stamped, pause) = (header("x-response-stamp").is_some(), header("retry-after"));
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string().unwrap_or_else(|error| error.to_string());
    Answer { status, body, stamped, pause }
}
