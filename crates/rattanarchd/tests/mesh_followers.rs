//! A few daemons follow the store on behalf of all.

mod mesh_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Store;

/// Number of followers in a group.
const FOLLOWERS: usize = 2;

/// Time within which a configuration has to be in force in the users' smallest deployments.
const APPLY_BOUND: Duration = Duration::from_secs(2);

/// Stale reads of a follower per second, rounded up, and as many calls again for its watches.
const CALLS_PER_S: u64 = 5;

/// Longer than the time after which a daemon that is in no record follows the store itself: 3 s plus a random part of
/// up to 1.92 s.
const FOLLOW_DELAY: Duration = Duration::from_secs(6);

/// Calls of a daemon that waits for the first record of a fleet: one list, and one list and one watch for each of two
/// kinds.
const FIRST_CALLS: u64 = 5;

/// Whether the metric `gauge` of `daemon` has the value `value`.
fn has_value(site: &Site, daemon: usize, gauge: &str, value: u64) -> bool {
    let metrics = site.metrics(daemon);
    let mut lines = metrics.lines().filter(|line| line.starts_with(gauge));
    lines.any(|line| line.ends_with(&format!(" {value}")))
}

fn followers(site: &Site) -> Vec<usize> {
    let daemons = 0..site.daemons.len();
    daemons.filter(|index| has_value(site, *index, "rattanarch_follows_store", 1)).collect()
}

fn wait_followers(site: &Site) -> Vec<usize> {
    wait_until("two daemons follow the store", || followers(site).len() == FOLLOWERS);
    followers(site)
}

/// The rate of calls to the store does not grow with the number of daemons.
#[test]
fn call_rate() {
    let site = Site::start(6, 2);
    wait_followers(&site);
    let (before, began) = (site.store.calls(), Instant::now());
    thread::sleep(Duration::from_secs(4));
    let calls = site.store.calls() - before;
    let limit = began.elapsed().as_secs() * CALLS_PER_S * FOLLOWERS as u64;
    assert!(calls <= limit, "{calls} calls, {limit} allowed");
}

/// Daemons of a fleet that starts for the first time wait for their configuration without further calls to the store.
#[test]
fn first_start() {
    let mut site = Site::empty(Store::start());
    for index in 0..4 {
        site.add(DESK, &format!("desk-{index}"), &format!("centre-{index}"));
    }
    wait_until("each daemon has made its first calls", || site.store.calls() >= 4 * FIRST_CALLS);
    thread::sleep(FOLLOW_DELAY);
    assert_eq!(site.store.calls(), 4 * FIRST_CALLS, "calls while nothing happens");
    site.store.configure(5);
    site.wait_served();
}

/// If both followers are killed and a configuration is written right afterwards, the other daemons apply it within the
/// bound.
#[test]
fn followers_killed() {
    let mut site = Site::start(5, 0);
    let lost = wait_followers(&site);
    for index in &lost {
        site.daemons[*index].kill();
    }
    site.store.configure(6);
    let written = Instant::now();
    let remaining: Vec<usize> = (0..5).filter(|index| !lost.contains(index)).collect();
    wait_until("the configuration is in force", || {
        remaining
            .iter()
            .all(|index| has_value(&site, *index, "rattanarch_configuration_version", 6))
    });
    assert!(written.elapsed() < APPLY_BOUND, "{:?}", written.elapsed());
}

/// A daemon that starts gets the configuration from others and becomes ready within the bound.
#[test]
fn late_starter() {
    let mut site = Site::start(4, 0);
    wait_followers(&site);
    site.daemons[3].kill();
    site.store.configure(7);
    let written = Instant::now();
    site.daemons[3].restart();
    let ready = site.daemons[3].addresses.ready;
    wait_until("the restarted daemon is ready", || {
        site.is_ready(ready) && has_value(&site, 3, "rattanarch_configuration_version", 7)
    });
    assert!(written.elapsed() < APPLY_BOUND, "{:?}", written.elapsed());
}

/// Longest time after which a daemon asks the caller of a key without an owner to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(625);

/// Daemons that refused a key because they knew no owner serve it when the caller retries after the time that they
/// gave.
#[test]
fn owner_learned() {
    let store = Store::start();
    store.configure(5);
    let mut site = Site::empty(store);
    for index in 0..6 {
        site.add(FILES, &format!("files-{index}"), &format!("centre-{}", index % 3));
    }
    site.wait_members(FILES, 6);
    wait_followers(&site);
    site.add(DESK, "desk-0", "centre-0");
    wait_until("all keys are held", || site.held_keys() == 65_536);
    let held = Instant::now();
    let serves = |daemon: usize| site.get(daemon, "/stock/crayfish", "o", 77).status == 200;
    wait_until("every daemon serves", || (0..6).all(serves));
    assert!(held.elapsed() < MAX_RETRY_AFTER, "{:?}", held.elapsed());
}
