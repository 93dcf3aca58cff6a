//! Fencing tokens and exclusive keys while slices move beside faults.

mod mesh_support;

use std::thread;
use std::time::Duration;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::WriteFault;

/// Moves all keys away from one data centre after the other, `rounds` times in all, and runs `fault` after each change.
fn move_keys(site: &Site, rounds: usize, mut fault: impl FnMut(usize)) {
    let centre = |round: usize| format!("centre-{}", round % 2);
    site.store.evacuate(&centre(0));
    for round in 0..rounds {
        fault(round);
        thread::sleep(Duration::from_millis(300));
        site.store.move_evacuation(&centre(round), &centre(round + 1));
    }
    site.store.end_evacuation(&centre(rounds));
}

/// Guards against tokens that rest on a write whose response was lost, or that the store executed late.
#[test]
fn writes_without_response() {
    let site = Site::start(3, 0);
    move_keys(&site, 6, |round| {
        let late = WriteFault::Late(Duration::from_millis(1_200));
        let fault = if round % 2 == 0 { WriteFault::ResponseLost } else { late };
        site.store.fail_writes([fault]);
        if round % 3 == 2 {
            site.store.clear_history();
        }
    });
    // Daemons gather moves, so that six rounds may lead to fewer writes than there are faults. Further rounds lead to more.
    wait_until("all faults have been applied", || {
        let pending = site.store.pending_faults() > 0;
        if pending {
            move_keys(&site, 1, |_| {});
        }
        !pending
    });
    site.wait_served();
    site.assert_fenced();
}

/// Guards against tokens that are lost in the writes of an older build while keys move.
#[test]
fn tokens_dropped() {
    let site = Site::start(3, 0);
    move_keys(&site, 6, |_| {
        for _ in 0..4 {
            site.store.drop_tokens(DESK);
            thread::sleep(Duration::from_millis(80));
        }
    });
    site.wait_served();
    site.assert_fenced();
}

/// Guards against a token of before a pause: the keys have gone to another upstream and come back meanwhile.
#[test]
fn moved_in_pause() {
    let site = Site::start(4, 0);
    for pause in [1_500, 2_500] {
        // Both upstreams of the data centre release their keys, so that one daemon writes the releases of both.
        site.store.evacuate("centre-0");
        while site.owned_slices(DESK, "desk-0") > 0 {
            thread::sleep(Duration::from_millis(1));
        }
        thread::scope(|scope| {
            scope.spawn(|| site.pause_daemon(0, Duration::from_millis(pause)));
            thread::sleep(Duration::from_millis(600));
            site.store.move_evacuation("centre-0", "centre-1");
        });
        site.store.end_evacuation("centre-1");
        site.wait_served();
    }
    site.assert_fenced();
}

/// Guards against keys that two upstreams hold if their daemon is paused while it releases them.
#[test]
fn paused_in_release() {
    let site = Site::start(3, 0);
    for (delay, pause) in [(20, 1_000), (100, 1_700), (250, 2_500)] {
        site.store.evacuate("centre-0");
        thread::sleep(Duration::from_millis(delay));
        site.pause_daemon(0, Duration::from_millis(pause));
        site.store.end_evacuation("centre-0");
        site.wait_served();
    }
    site.assert_fenced();
}

/// Guards against keys that two upstreams hold if one that releases them to another, with handovers, is taken over
/// meanwhile and comes back.
#[test]
fn takeover_in_release() {
    let site = Site::start(4, 0);
    for delay in [50, 200] {
        site.store.evacuate("centre-0");
        thread::sleep(Duration::from_millis(delay));
        site.upstreams[1].set_silent(true);
        site.upstreams[0].set_silent(true);
        thread::scope(|scope| {
            scope.spawn(|| site.pause_daemon(1, Duration::from_millis(4_500)));
            site.pause_daemon(0, Duration::from_millis(4_500));
        });
        site.upstreams[0].set_silent(false);
        site.upstreams[1].set_silent(false);
        site.store.end_evacuation("centre-0");
        site.wait_served();
    }
    site.assert_fenced();
}
