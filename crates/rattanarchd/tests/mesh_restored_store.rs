//! The store comes back from an older copy.

mod mesh_support;

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Store;
use rattanarch_adapter_standins::Upstream;
use serde_json::Value;

/// How long the store is away during a restore.
const AWAY: Duration = Duration::from_secs(1);

/// Longest time for which two upstreams may hold the same key.
const OVERLAP_BOUND: Duration = Duration::from_millis(500);

/// Fences and overlaps of the keys that upstreams hold.
#[derive(Default)]
struct Holds {
    /// Holder and fence of each key when it was last held.
    last: BTreeMap<u16, (usize, u64)>,
    /// Since when two upstreams have held the same keys.
    overlap: Option<Instant>,
    violations: Vec<String>,
}

impl Holds {
    /// Checks the keys that `upstreams` hold now: a key that has moved has a higher fence, and no two hold one for long.
    fn check(&mut self, upstreams: &[Upstream]) {
        let mut now: BTreeMap<u16, (usize, u64)> = BTreeMap::new();
        let mut overlaps = false;
        for (index, upstream) in upstreams.iter().enumerate() {
            for (first, last, fence) in upstream.held() {
                for key in (first..=last).step_by(16) {
                    overlaps |= now.insert(key, (index, fence)).is_some();
                }
            }
        }
        for (key, (holder, fence)) in now {
            let before = self.last.insert(key, (holder, fence));
            if let Some((old, old_fence)) = before.filter(|(old, _)| *old != holder)
                && fence <= old_fence
            {
                let violation = format!("key {key}: {holder} {fence}, had {old} {old_fence}");
                self.violations.push(violation);
            }
        }
        let since = overlaps.then(|| self.overlap.unwrap_or_else(Instant::now));
        if since.is_some_and(|since| since.elapsed() > OVERLAP_BOUND) {
            self.violations.push("keys held by two".to_owned());
        }
        self.overlap = since;
    }

    /// Checks the keys for `duration`.
    fn check_for(&mut self, site: &Site, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.check(&site.upstreams);
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn assert_kept(&self) {
        let count = self.violations.len();
        assert!(count == 0, "{count} violations: {:?}", &self.violations[..count.min(5)]);
    }
}

fn version(site: &Site, service: &str) -> u64 {
    let record = site.store.record(service);
    record.and_then(|record| record["version"].as_u64()).unwrap_or_default()
}

fn members(site: &Site) -> usize {
    let record = site.store.record(DESK).unwrap_or_default();
    record["members"].as_array().map_or(0, Vec::len)
}

/// Guards against two holders of all keys: a store that had lost the record made the next daemon to start found the
/// service anew, under fences from 1 on, while the others went on without it.
#[test]
fn joined_after() {
    let store = Store::start();
    store.configure(5);
    let copy = store.copy();
    let mut site = Site::empty(store);
    for index in 0..3 {
        site.add(DESK, &format!("desk-{index}"), &format!("centre-{index}"));
    }
    site.wait_served();
    let before = version(&site, DESK);
    let mut holds = Holds::default();
    holds.check_for(&site, Duration::from_millis(200));
    site.store.set_down(true);
    holds.check_for(&site, AWAY);
    site.store.restore(copy);
    site.store.set_down(false);
    wait_until("the record is written back", || version(&site, DESK) > before);
    assert_eq!(members(&site), 3);
    site.add(DESK, "desk-3", "centre-0");
    wait_until("the new upstream holds keys beside the others", || {
        holds.check(&site.upstreams);
        site.held_keys() == 65_536 && site.upstreams.iter().all(|desk| desk.held_keys() > 0)
    });
    holds.check_for(&site, Duration::from_secs(2));
    holds.assert_kept();
}

/// While the daemons that knew what the store has lost live on, no key is without service: a restore interrupts nothing.
#[test]
fn calm_restore() {
    let mut site = Site::start(2, 1);
    let copy = site.store.copy();
    site.add(DESK, "desk-late", "centre-2");
    wait_until("the late upstream holds keys", || site.upstreams[3].held_keys() > 0);
    site.wait_served();
    let (before, files) = (version(&site, DESK), version(&site, FILES));
    let owners = site.store.record(DESK).expect("there is a record")["owners"].clone();
    let mut holds = Holds::default();
    site.store.set_down(true);
    holds.check_for(&site, AWAY);
    site.store.restore(copy);
    site.store.set_down(false);
    wait_until("the records are written back", || {
        holds.check(&site.upstreams);
        assert_eq!(site.held_keys(), 65_536);
        version(&site, DESK) > before && version(&site, FILES) > files
    });
    let record = site.store.record(DESK).expect("there is a record");
    assert_eq!(record["owners"], owners);
    assert_eq!(record["restored"], Value::Null, "all members have confirmed what they know");
    holds.check_for(&site, Duration::from_secs(2));
    assert_eq!(site.held_keys(), 65_536);
    holds.assert_kept();
}

/// Guards against a lower fence and two holders: the store forgot that keys had moved, and all daemons that knew it
/// were killed meanwhile. The upstreams live on.
#[test]
fn killed_meanwhile() {
    let mut site = Site::start(3, 0);
    let copy = site.store.copy();
    site.add(DESK, "desk-late", "centre-2");
    wait_until("the late upstream holds keys", || site.upstreams[3].held_keys() >= 8_192);
    site.wait_served();
    let mut holds = Holds::default();
    holds.check_for(&site, Duration::from_millis(200));
    site.store.set_down(true);
    site.daemons.iter_mut().for_each(|daemon| daemon.kill());
    holds.check_for(&site, AWAY);
    site.store.restore(copy);
    site.store.set_down(false);
    site.daemons.iter_mut().for_each(|daemon| daemon.restart());
    wait_until("every key is held again", || {
        holds.check(&site.upstreams);
        site.held_keys() == 65_536 && members(&site) == 4
    });
    holds.check_for(&site, Duration::from_secs(3));
    holds.assert_kept();
}

/// Two restores within seconds, of an older and a still older copy, under the load of callers: every request is
/// answered by an upstream or refused, and no key is held twice.
#[test]
fn restored_twice() {
    let site = Site::start(3, 0);
    let first = site.store.copy();
    site.store.evacuate("centre-1");
    wait_until("its keys are elsewhere", || {
        site.upstreams[1].held_keys() == 0 && site.held_keys() == 65_536
    });
    let second = site.store.copy();
    let mut holds = Holds::default();
    let stopped = AtomicBool::new(false);
    let statuses = thread::scope(|scope| {
        let load = scope.spawn(|| send_load(&site, &stopped));
        let _stop = StopOnDrop(&stopped);
        for copy in [second, first] {
            site.store.set_down(true);
            holds.check_for(&site, AWAY);
            site.store.restore(copy);
            // The operator's changes are written again.
            site.store.evacuate("centre-1");
            site.store.set_down(false);
            holds.check_for(&site, Duration::from_secs(2));
        }
        site.store.end_evacuation("centre-1");
        wait_until("the data centre has keys again", || {
            holds.check(&site.upstreams);
            site.upstreams[1].held_keys() > 0 && site.held_keys() == 65_536
        });
        stopped.store(true, Ordering::SeqCst);
        load.join().expect("the load has not panicked")
    });
    let odd: Vec<_> = statuses.iter().filter(|status| ![200, 503].contains(*status)).collect();
    assert!(odd.is_empty(), "{odd:?}");
    assert!(statuses.iter().filter(|status| **status == 200).count() * 10 > statuses.len() * 9);
    holds.assert_kept();
}

/// Stops the load when the test ends, also by a panic: otherwise the load would keep the site and its processes alive.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Sends requests for keys all over the range until `stopped`; returns the statuses of the responses.
fn send_load(site: &Site, stopped: &AtomicBool) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0_u16.. {
        if stopped.load(Ordering::SeqCst) {
            break;
        }
        let key = number.wrapping_mul(7_919);
        let daemon = usize::from(number % 2) * 2;
        statuses.push(site.get(daemon, "/stock/a", &format!("load-{number}"), key).status);
        thread::sleep(Duration::from_millis(10));
    }
    statuses
}

/// Guards against evacuations that are passed over: after a restore they had lower revisions than the known set.
#[test]
fn evacuated_after() {
    let site = Site::start(1, 3);
    let copy = site.store.copy();
    let wait_count = |count| {
        wait_until("every daemon knows what is evacuated", || {
            let known = |daemon| site.metric(daemon, "rattanarch_evacuated_data_centres");
            (0..4).all(|daemon| known(daemon) == Some(count))
        });
    };
    for _ in 0..3 {
        site.store.evacuate("centre-2");
        wait_count(1);
        site.store.end_evacuation("centre-2");
        wait_count(0);
    }
    site.store.set_down(true);
    thread::sleep(AWAY);
    site.store.restore(copy);
    site.store.set_down(false);
    thread::sleep(Duration::from_secs(1));
    site.store.evacuate("centre-1");
    wait_count(1);
}

/// An era that is no number, or too high, is ignored, and the daemon goes on.
#[test]
fn era_malformed() {
    let mut site = Site::start(2, 0);
    let before = version(&site, DESK);
    for era in ["-1", "99999999999999999999", "8192", "later"] {
        site.store.set_era_text(era);
        thread::sleep(Duration::from_millis(500));
    }
    site.add(DESK, "desk-late", "centre-2");
    wait_until("the late upstream holds keys", || site.upstreams[2].held_keys() > 0);
    assert!((before + 1..before + 100).contains(&version(&site, DESK)));
    assert!(site.daemons.iter().any(|daemon| daemon.log().contains("store era malformed")));
}
