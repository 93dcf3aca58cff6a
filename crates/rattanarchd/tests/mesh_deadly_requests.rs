//! Requests that end each upstream which begins to run them.

mod mesh_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Addresses;
use mesh_support::Daemon;
use mesh_support::MortalUpstream;
use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Store;

/// Time after the third end from which on the platform counts further arrivals.
const STABLE: Duration = Duration::from_secs(3);

/// Arrivals of one request that the platform still allows from then on, in sum over all upstreams.
const ALLOWED: usize = 3;

/// Time between two requests of [`Fleet::send_steadily`].
const SEND_INTERVAL: Duration = Duration::from_millis(40);

/// A site whose upstreams end at requests with `deadly` in their paths.
struct Fleet {
    site: Site,
    upstreams: Vec<MortalUpstream>,
}

impl Fleet {
    fn start(service: &str, count: usize) -> Self {
        let store = Store::start();
        store.configure(5);
        let mut fleet = Self { site: Site::empty(store), upstreams: Vec::new() };
        for index in 0..count {
            fleet.add(service, index);
        }
        fleet.wait_served(service);
        fleet
    }

    fn add(&mut self, service: &str, index: usize) {
        let addresses = Addresses::allocate();
        let (instance, centre) = (format!("{service}-{index}"), format!("centre-{}", index % 3));
        let store = self.site.store.address;
        self.site.daemons.push(Daemon::start(&instance, service, &centre, addresses, store));
        self.upstreams.push(MortalUpstream::start(service, &instance, addresses, &["deadly"]));
    }

    fn wait_served(&self, service: &str) {
        self.site.wait_members(service, self.upstreams.len());
        wait_until("all daemons serve a request", || {
            let path = sound_path(service);
            let mut keys = (0..4).map(|index| index * 16_000);
            let daemons = 0..self.upstreams.len();
            keys.all(|key| {
                daemons.clone().all(|d| self.site.get(d, path, "first", key).status == 200)
            })
        });
    }

    /// Sends GET requests for `path`, one after the other at each daemon in turn, for `duration`; returns their statuses.
    fn send_steadily(&self, path: &str, key: u16, duration: Duration) -> Vec<u16> {
        let end = Instant::now() + duration;
        let mut statuses = Vec::new();
        while Instant::now() < end {
            let number = statuses.len();
            let daemon = number % self.site.daemons.len();
            let id = format!("{:?}-{number}", Instant::now());
            statuses.push(
                self.site.get(daemon, path, &id.replace([' ', '{', '}', ':'], ""), key).status,
            );
            thread::sleep(SEND_INTERVAL);
        }
        statuses
    }

    /// When the lives of all upstreams ended, in order.
    fn ends(&self) -> Vec<Instant> {
        let mut ends: Vec<_> = self.upstreams.iter().flat_map(MortalUpstream::ends).collect();
        ends.sort();
        ends
    }

    /// When requests for `path` reached upstreams, in order.
    fn arrivals(&self, path: &str) -> Vec<Instant> {
        let all = self.upstreams.iter().flat_map(MortalUpstream::arrivals);
        let mut times: Vec<_> = all.filter(|a| a.path == path).map(|a| a.at).collect();
        times.sort();
        times
    }

    /// Checks that after the third end no more requests for `path` reached upstreams than are allowed.
    fn assert_stopped(&self, path: &str) {
        let ends = self.ends();
        let Some(third) = ends.get(2) else { return };
        let arrivals = self.arrivals(path);
        let late = arrivals.iter().filter(|at| **at > *third + STABLE).count();
        assert!(late <= ALLOWED, "{late} arrivals after the third of {} ends", ends.len());
    }

    /// Checks that sound requests are served through each daemon.
    fn assert_served(&self, service: &str) {
        wait_until("sound requests are served", || {
            let statuses = self.send_steadily(sound_path(service), 7, SEND_INTERVAL * 10);
            statuses.iter().all(|status| *status == 200)
        });
    }
}

fn sound_path(service: &str) -> &'static str {
    if service == DESK { "/stock/sound" } else { "/files/sound" }
}

/// Repeats of a request without a key end one instance of its service after the other.
#[test]
fn deadly_unkeyed_repeats() {
    let fleet = Fleet::start(FILES, 4);
    fleet.send_steadily("/files/deadly", 7, Duration::from_secs(12));
    fleet.assert_stopped("/files/deadly");
    fleet.assert_served(FILES);
}

/// Repeats of a request with a key end each owner of the key.
#[test]
fn deadly_keyed_repeats() {
    let fleet = Fleet::start(DESK, 3);
    fleet.send_steadily("/stock/deadly", 7, Duration::from_secs(14));
    fleet.assert_stopped("/stock/deadly");
    fleet.assert_served(DESK);
}
