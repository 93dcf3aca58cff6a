//! Requests that end each upstream which begins to run them.

mod mesh_support;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
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
use rattanarch_adapter_standins::Response;
use rattanarch_adapter_standins::Store;

/// Time after the third end from which on the platform counts further arrivals.
const STABLE: Duration = Duration::from_secs(3);

/// Arrivals of one request that the platform still allows from then on, in sum over all upstreams.
const ALLOWED: usize = 3;

/// Time between two requests of [`Fleet::send_steadily`].
const SEND_INTERVAL: Duration = Duration::from_millis(40);

/// Number in the id of the next request.
static NEXT_ID: AtomicU32 = AtomicU32::new(1);

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

    /// Sends a GET request for `path` under an id of its own.
    fn get(&self, daemon: usize, path: &str, key: u16) -> Response {
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        self.site.get(daemon, path, &format!("request{id}"), key)
    }

    /// Sends GET requests for `path`, one after the other at each daemon in turn, for `duration`; returns their statuses.
    fn send_steadily(&self, path: &str, key: u16, duration: Duration) -> Vec<u16> {
        let end = Instant::now() + duration;
        let mut statuses = Vec::new();
        while Instant::now() < end {
            let daemon = statuses.len() % self.site.daemons.len();
            statuses.push(self.get(daemon, path, key).status);
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

/// Repeats come through a daemon of another service, as nested calls do.
#[test]
fn deadly_nested_calls() {
    let mut fleet = Fleet::start(FILES, 3);
    fleet.site.add(DESK, "desk-0", "centre-0");
    wait_until("the other daemon serves a request", || {
        fleet.get(3, sound_path(FILES), 7).status == 200
    });
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        fleet.get(3, "/files/deadly", 7);
        thread::sleep(SEND_INTERVAL);
    }
    fleet.assert_stopped("/files/deadly");
    fleet.assert_served(FILES);
}

/// Two requests that end their upstreams come at the same time.
#[test]
fn two_deadly_requests() {
    let fleet = Fleet::start(FILES, 4);
    thread::scope(|scope| {
        for path in ["/files/deadly-a", "/files/deadly-b"] {
            let fleet = &fleet;
            scope.spawn(move || fleet.send_steadily(path, 7, Duration::from_secs(12)));
        }
    });
    fleet.assert_stopped("/files/deadly-a");
    fleet.assert_stopped("/files/deadly-b");
    fleet.assert_served(FILES);
}

/// A request that is in flight at each of three kills, and answered elsewhere meanwhile, is never refused for it.
#[test]
fn hot_request_at_kills() {
    let fleet = Fleet::start(FILES, 4);
    fleet.upstreams.iter().for_each(|upstream| upstream.set_work(Duration::from_millis(100)));
    let ended = AtomicBool::new(false);
    let refused = thread::scope(|scope| {
        let fleet = &fleet;
        let ended = &ended;
        let send = move |daemon: usize| {
            let mut refused = 0;
            while !ended.load(Ordering::Relaxed) {
                refused += usize::from(fleet.get(daemon, "/files/hot", 7).body == "quarantined");
            }
            refused
        };
        let callers: Vec<_> = (0..12).map(|caller| scope.spawn(move || send(caller % 4))).collect();
        for upstream in &fleet.upstreams[..3] {
            thread::sleep(Duration::from_millis(500));
            upstream.kill();
        }
        thread::sleep(Duration::from_secs(2));
        ended.store(true, Ordering::Relaxed);
        callers.into_iter().map(|caller| caller.join().expect("it ends")).sum::<usize>()
    });
    assert_eq!((fleet.ends().len(), refused), (3, 0));
    let cut = |daemon: usize| {
        fleet.site.daemons[daemon].log().contains("request in flight at upstream end")
    };
    assert!((0..3).all(cut), "it was in flight at each kill");
    fleet.assert_served(FILES);
}

/// A sound request that was in flight when all instances were killed at once is served again after a trial.
#[test]
fn all_instances_killed() {
    let fleet = Fleet::start(FILES, 2);
    fleet.upstreams.iter().for_each(|upstream| upstream.set_work(Duration::from_millis(300)));
    thread::scope(|scope| {
        for daemon in [0, 1, 0, 1] {
            let fleet = &fleet;
            scope.spawn(move || fleet.get(daemon, "/files/sound", 7));
        }
        thread::sleep(Duration::from_millis(100));
        fleet.upstreams.iter().for_each(MortalUpstream::kill);
    });
    fleet.assert_served(FILES);
}

/// A daemon that was restarted learns from the others what they know.
#[test]
fn restarted_daemon() {
    let mut fleet = Fleet::start(FILES, 3);
    fleet.send_steadily("/files/deadly", 7, Duration::from_secs(1));
    for daemon in 0..3 {
        fleet.site.restart_daemon(daemon);
        thread::sleep(STABLE);
    }
    fleet.assert_served(FILES);
    fleet.send_steadily("/files/deadly", 7, Duration::from_secs(8));
    fleet.assert_stopped("/files/deadly");
}

/// A daemon that was paused while upstreams ended learns of it afterwards.
#[test]
fn paused_daemon() {
    let fleet = Fleet::start(FILES, 4);
    thread::scope(|scope| {
        scope.spawn(|| fleet.site.pause_daemon(3, Duration::from_secs(2)));
        thread::sleep(Duration::from_millis(200));
        for _ in 0..20 {
            (0..3).for_each(|daemon| drop(fleet.get(daemon, "/files/deadly", 7)));
            thread::sleep(SEND_INTERVAL);
        }
    });
    thread::sleep(STABLE);
    fleet.send_steadily("/files/deadly", 7, Duration::from_secs(8));
    fleet.assert_stopped("/files/deadly");
    fleet.assert_served(FILES);
}
