//! A planned stop waits for the writes of callers that have disconnected.
//!
//! A daemon that ends earlier drops its connection to the upstream, which then abandons the write.

#![allow(clippy::unwrap_used, reason = "as in test functions")]

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rattanarch_standins::Fleet;
use rattanarch_standins::JournalEvent;
use rattanarch_standins::Outcome;
use rattanarch_standins::ServicePlan;
use rattanarch_standins::UpstreamFaults;

/// Maximum time of a start or stop; allows for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Sends a write to `path`, disconnects, stops the daemon and returns the outcome at the upstream.
fn write_and_stop(plan: ServicePlan, path: &str) -> Option<Outcome> {
    let mut fleet = Fleet::start(&[plan]).unwrap();
    fleet.wait_serving(TIMEOUT).unwrap();
    let faults = UpstreamFaults { delay_ms: Some(1_500), ..UpstreamFaults::default() };
    fleet.slots[0].set_faults(faults).unwrap();
    let mut caller = TcpStream::connect(fleet.slots[0].caller_address()).unwrap();
    write!(
        caller,
        "POST {path} HTTP/1.1\r\nhost: x\r\nrattanarch-key: a\r\ncontent-length: 1\r\n\r\nx"
    )
    .unwrap();
    thread::sleep(Duration::from_millis(300));
    drop(caller);
    fleet.slots[0].stop_daemon(TIMEOUT).unwrap();
    thread::sleep(Duration::from_secs(2));
    let journal = fleet.slots[0].journal().unwrap();
    let run = journal.entries.iter().find_map(|entry| match &entry.event {
        JournalEvent::Started { run, method, .. } if method == "POST" => Some(*run),
        _ => None,
    })?;
    journal.entries.iter().find_map(|entry| match &entry.event {
        JournalEvent::Ended { run: ended, outcome } if *ended == run => Some(*outcome),
        _ => None,
    })
}

#[test]
fn keyed_write() {
    let outcome = write_and_stop(ServicePlan::trade_desk(1), "/trade-desk/reservations/a");
    assert_eq!(outcome, Some(Outcome::Done));
}

#[test]
fn unkeyed_write() {
    let outcome = write_and_stop(ServicePlan::pound_files(1), "/pound-files/certificates/a");
    assert_eq!(outcome, Some(Outcome::Done));
}
