//! Fencing tokens and exclusive keys while upstreams and daemons restart.

mod mesh_support;

use std::thread;
use std::time::Duration;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::send_raw_heartbeat;

/// Time by which heartbeats are late.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(2_200);

/// Guards against tokens that a life of an upstream shares with an earlier one which crashed within the lease.
#[test]
fn crashes_in_series() {
    let mut site = Site::start(3, 0);
    for (pause, id) in [(20, "2"), (150, "2"), (400, "3"), (900, "3")] {
        site.restart_upstream(0, &format!("i-desk-0-{id}"));
        thread::sleep(Duration::from_millis(pause));
    }
    site.wait_served();
    site.assert_fenced();
}

/// Guards against tokens that are used again if an upstream crashes while its keys are released and come back.
#[test]
fn crash_in_release() {
    let mut site = Site::start(3, 0);
    for (pause, id) in [(30, "1"), (120, "2"), (250, "2")] {
        site.store.evacuate("centre-0");
        thread::sleep(Duration::from_millis(pause));
        site.restart_upstream(0, &format!("i-desk-0-{id}"));
        thread::sleep(Duration::from_millis(pause));
        site.store.end_evacuation("centre-0");
        site.wait_served();
    }
    site.assert_fenced();
}

/// Guards against keys given on that an upstream holds: the first heartbeat that its restarted daemon gets was sent
/// before the upstream held any, and the next ones are late.
#[test]
fn heartbeat_before_grants() {
    let mut site = Site::start(2, 0);
    site.upstreams[0].set_silent(true);
    // The daemon can't join before the reply, so that it grants nothing.
    site.store.set_down(true);
    let control = site.restart_daemon(0);
    let response = site.upstreams[0].send_delayed_heartbeat(control, 1, &[]);
    assert_eq!(response, "HTTP/1.1 200 OK");
    site.store.set_down(false);
    thread::sleep(HEARTBEAT_DELAY);
    site.upstreams[0].set_silent(false);
    site.wait_served();
    site.assert_fenced();
}

/// Guards against keys given on that an upstream holds: the first heartbeat that its restarted daemon gets is of the
/// life before, and later ones of its own life are late.
#[test]
fn ended_life_first() {
    let mut site = Site::start(2, 0);
    let (ended, delayed) = site.upstreams[0].heartbeat();
    site.restart_upstream(0, "i-desk-0-2");
    site.wait_served();
    site.upstreams[0].set_silent(true);
    let (id, heartbeat) = site.upstreams[0].heartbeat();
    // The daemon can't join before the replies, so that they grant nothing.
    site.store.set_down(true);
    let control = site.restart_daemon(0);
    for (id, heartbeat) in [(ended, delayed), (id, heartbeat)] {
        let response = send_raw_heartbeat(control, &id, &heartbeat.to_string());
        assert_eq!(response, "HTTP/1.1 200 OK");
    }
    site.store.set_down(false);
    thread::sleep(HEARTBEAT_DELAY);
    site.upstreams[0].set_silent(false);
    site.wait_served();
    site.assert_fenced();
}

/// Guards against tokens of an ended life if its delayed heartbeat reaches the restarted daemon before or after the first
/// one of the next life.
#[test]
fn both_restarted() {
    let mut site = Site::start(3, 0);
    for (is_first, id) in [(true, "i-desk-0-2"), (false, "i-desk-0-3")] {
        let (ended, delayed) = site.upstreams[0].heartbeat();
        site.upstreams[0].stop();
        let control = site.restart_daemon(0);
        let send_delayed = || send_raw_heartbeat(control, &ended, &delayed.to_string());
        if is_first {
            assert_eq!(send_delayed(), "HTTP/1.1 200 OK");
        }
        site.start_upstream(0, id);
        site.wait_served();
        if !is_first {
            assert_eq!(send_delayed(), "HTTP/1.1 409 Conflict");
        }
        site.wait_served();
    }
    site.assert_fenced();
}

/// Guards against tokens of a delayed heartbeat, if the daemon was killed after the keys came back and before the upstream
/// took them.
#[test]
fn killed_before_grant() {
    let mut site = Site::start(2, 0);
    let before = site.upstreams[0].held();
    site.store.evacuate("centre-0");
    wait_until("the other upstream holds all keys", || site.upstreams[1].held_keys() == 65_536);
    site.store.end_evacuation("centre-0");
    wait_until("keys are given back", || site.upstreams[1].held_keys() < 65_536);
    site.upstreams[0].set_silent(true);
    let control = site.restart_daemon(0);
    let response = site.upstreams[0].send_delayed_heartbeat(control, 1, &before);
    assert_eq!(response, "HTTP/1.1 200 OK");
    site.upstreams[0].set_silent(false);
    site.wait_served();
    site.assert_fenced();
}

/// Guards against tokens that get lost over two restarts of a daemon, while keys move.
#[test]
fn restarted_twice() {
    let mut site = Site::start(2, 0);
    for pause in [0, 300] {
        site.restart_daemon(0);
        thread::sleep(Duration::from_millis(pause));
        site.restart_daemon(0);
        site.store.evacuate("centre-0");
        wait_until("the other upstream holds all keys", || site.upstreams[1].held_keys() == 65_536);
        site.restart_daemon(1);
        site.store.end_evacuation("centre-0");
        site.restart_daemon(1);
        site.wait_served();
    }
    site.assert_fenced();
}
