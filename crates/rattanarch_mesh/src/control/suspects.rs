//! Exchange of suspects between daemons: requests that were in flight when upstreams ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rattanarch_process::random_index;
use rattanarch_quarantine::Fingerprint;
use rattanarch_quarantine::QuarantineChange;
use rattanarch_quarantine::SuspectReport;
use rattanarch_types::hash_key;
use rattanarch_wire::MAX_WIRE_SUSPECTS;
use rattanarch_wire::SuspectsMessage;

use crate::control::gossip::peer_addresses;
use crate::process::Shared;
use crate::upstream::LifeKey;

/// Interval at which changed suspects are sent again.
const SEND_INTERVAL: Duration = Duration::from_millis(250);

/// Number of random daemons that changed suspects are sent to at a time.
const FANOUT: usize = 3;

/// Datagrams with suspects that are sent to one daemon at a time, at most.
const MAX_DATAGRAMS: usize = 4;

/// Time after the start of the process in which it asks for the suspects of others, although it has none.
const CATCH_UP_TIME: Duration = Duration::from_secs(5);

/// Most ends in one datagram, by their size on the wire.
const MAX_DATAGRAM_ENDS: usize = 120;

/// Size of a suspect without its ends on the wire, in ends.
const SUSPECT_ENDS: usize = 3;

/// Sends changed suspects and summaries at each interval, until the process ends.
pub(crate) async fn run_suspects(shared: Rc<Shared>) {
    let started = shared.now();
    let mut summary_is_due = false;
    loop {
        tokio::time::sleep(SEND_INTERVAL).await;
        let is_empty = shared.quarantine.borrow().is_empty();
        if !is_empty {
            let now = shared.now();
            shared.quarantine.borrow_mut().expire(now);
            spread_suspects(&shared);
        }
        summary_is_due = !summary_is_due;
        if summary_is_due && (!is_empty || shared.now() < started + CATCH_UP_TIME) {
            send_summary(&shared);
        }
    }
}

/// Sends suspects that have changed to a few random daemons.
pub(crate) fn spread_suspects(shared: &Shared) {
    let limit = MAX_WIRE_SUSPECTS * MAX_DATAGRAMS;
    let due = shared.quarantine.borrow_mut().take_due(shared.now(), limit);
    log_changes(shared);
    if due.is_empty() {
        return;
    }
    let peers = peer_addresses(shared);
    if peers.is_empty() {
        return;
    }
    let chosen = peers.iter().cycle().skip(random_index(peers.len()));
    for peer in chosen.take(FANOUT.min(peers.len())) {
        send_reports(shared, &due, *peer);
    }
}

/// Records that the life `life` of this daemon's upstream has ended with `requests` in flight, among them `trial`.
pub(crate) fn record_upstream_end(
    shared: &Shared,
    life: &LifeKey,
    requests: &[Fingerprint],
    trial: Option<Fingerprint>,
) {
    let now = shared.now();
    let end = hash_key(&format!("{} {life}", shared.settings.instance));
    shared.quarantine.borrow_mut().record_end(now, end, requests, trial);
    spread_suspects(shared);
    shared.state_changed.notify_waiters();
}

/// Records that a run of the request `fingerprint` was answered.
pub(crate) fn record_answer(shared: &Shared, fingerprint: &Fingerprint) {
    let now = shared.now();
    if shared.quarantine.borrow_mut().record_answer(now, fingerprint) {
        spread_suspects(shared);
        shared.state_changed.notify_waiters();
    }
}

/// Handles a message about suspects from the daemon at `from`.
pub(crate) fn handle_suspects(shared: &Shared, message: &SuspectsMessage, from: SocketAddr) {
    let now = shared.now();
    let mut is_new = false;
    for report in &message.reports {
        is_new |= shared.quarantine.borrow_mut().merge(now, report);
    }
    if is_new {
        spread_suspects(shared);
        shared.state_changed.notify_waiters();
    }
    let own = shared.quarantine.borrow().summary();
    if message.summary.is_none_or(|summary| summary == own) {
        return;
    }
    let reports = shared.quarantine.borrow().reports(now, MAX_WIRE_SUSPECTS * MAX_DATAGRAMS);
    send_reports(shared, &reports, from);
    if message.wants_summary {
        let reply = SuspectsMessage { summary: Some(own), ..SuspectsMessage::default() };
        send(shared, &reply, from);
    }
}

fn send_summary(shared: &Shared) {
    let peers = peer_addresses(shared);
    if peers.is_empty() {
        return;
    }
    let summary = Some(shared.quarantine.borrow().summary());
    let message = SuspectsMessage { summary, wants_summary: true, reports: Vec::new() };
    send(shared, &message, peers[random_index(peers.len())]);
}

/// Sends `reports` to the daemon at `to`, in as many datagrams as they need.
fn send_reports(shared: &Shared, reports: &[SuspectReport], to: SocketAddr) {
    let mut rest = reports;
    while !rest.is_empty() {
        let count = datagram_count(rest);
        let (first, others) = rest.split_at(count);
        let message = SuspectsMessage { reports: first.to_vec(), ..SuspectsMessage::default() };
        send(shared, &message, to);
        rest = others;
    }
}

/// How many of `reports` fit into one datagram; at least one.
fn datagram_count(reports: &[SuspectReport]) -> usize {
    let mut ends = 0;
    let fits = |report: &&SuspectReport| {
        ends += report.ends.len() + SUSPECT_ENDS;
        ends <= MAX_DATAGRAM_ENDS
    };
    reports.iter().take(MAX_WIRE_SUSPECTS).take_while(fits).count().max(1)
}

fn send(shared: &Shared, message: &SuspectsMessage, to: SocketAddr) {
    if to != shared.settings.listen.datagrams {
        shared.meters.suspects_datagram();
        shared.socket.send_suspects(&message.into(), to);
    }
}

/// Logs and counts changes of the quarantine.
fn log_changes(shared: &Shared) {
    let changes = shared.quarantine.borrow_mut().take_changes();
    for (fingerprint, change) in changes {
        shared.meters.quarantine_change(&change);
        match change {
            QuarantineChange::Quarantined | QuarantineChange::Proved => {
                log::warn!(fingerprint:% = fingerprint, change:% = change; "quarantine changed");
            }
            QuarantineChange::Released => {
                log::info!(fingerprint:% = fingerprint, change:% = change; "quarantine changed");
            }
        }
    }
}
