//! A daemon that was paused during two configuration changes never returns to an older one.
//!
//! Its own copy is two versions old when it resumes; it must adopt the newest version, and data centres
//! that are out must start no requests.

mod support;

use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rattanarch_standins::Fleet;
use rattanarch_standins::JournalEvent;
use rattanarch_standins::Program;
use serde_json::Value;

/// Slot of the paused daemon, in a data centre that stays in.
const PAUSED: usize = 3;

/// Slot of the daemon that the operator uses.
const OPERATOR_SLOT: usize = 0;

/// Time after which a data centre that was taken out must start no more requests.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Time for which the resumed daemon is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

fn run_statement(fleet: &Fleet, statement: &str) {
    let program = Program::find("rattanarch").expect("a binary");
    let address = format!("http://{}", fleet.slots[OPERATOR_SLOT].operator_address());
    let mut command = Command::new(program.path());
    command.env("RATTANARCH_AT", address).env("RATTANARCH_TOKEN", fleet.operator_token());
    let output = command.arg(statement).output().expect("the program runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    eprintln!("{statement}: {text}{errors}");
    assert!(output.status.success(), "{statement}: {errors}");
}

fn version(fleet: &Fleet, slot: usize) -> Option<u64> {
    let status: Value = fleet.slots[slot].read_operator("/status").ok()?;
    status["configuration_version"].as_u64()
}

/// Time of the newest entry of the upstreams' journals, in microseconds.
fn newest_entry(fleet: &Fleet) -> u64 {
    let journals = fleet.journals().expect("journals");
    journals
        .iter()
        .filter_map(|journal| Some(journal.entries.back()?.at_us))
        .max()
        .expect("an entry")
}

/// Number of requests that a slot's upstream started after `from_us`, and the time of the last one.
fn started(fleet: &Fleet, slot: usize, from_us: u64) -> (usize, Option<u64>) {
    let journal = fleet.slots[slot].journal().expect("a journal");
    let is_start = |event: &JournalEvent| matches!(event, JournalEvent::Started { .. });
    let entries = journal.entries.iter().filter(|entry| is_start(&entry.event));
    let late: Vec<_> = entries.filter(|entry| entry.at_us > from_us).collect();
    (late.len(), late.last().map(|entry| entry.at_us))
}

#[test]
fn paused_during_changes() {
    let mut fleet = support::start_fleet(8);
    let load = support::start_load(&fleet, 11);
    thread::sleep(Duration::from_secs(1));
    fleet.slots[PAUSED].daemon().unwrap().pause().unwrap();
    run_statement(&fleet, "take out data centre nordkuehl");
    let first = newest_entry(&fleet);
    thread::sleep(Duration::from_secs(2));
    run_statement(&fleet, "take out data centre welsdepot");
    let second = newest_entry(&fleet);
    thread::sleep(Duration::from_secs(2));
    fleet.slots[PAUSED].daemon().unwrap().resume().unwrap();
    let start = Instant::now();
    let mut newest = 0;
    while start.elapsed() < OBSERVATION_TIME {
        if let Some(version) = version(&fleet, PAUSED) {
            assert!(version >= newest, "the daemon returned from version {newest} to {version}");
            newest = version;
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(newest, 3, "the daemon does not have the newest configuration");
    support::finish_load(&fleet, load);
    for (slot, accepted) in [(1, first), (5, first), (2, second), (6, second)] {
        let (_, last) = started(&fleet, slot, accepted);
        let last = last.map(|last| Duration::from_micros(last - accepted));
        let (late, _) = started(&fleet, slot, accepted + SETTLING_TIME.as_micros() as u64);
        let instance = fleet.slots[slot].instance();
        eprintln!("{instance}: last request {last:?} after the change was accepted, {late} late");
        assert!(started(&fleet, slot, 0).0 > 0, "{instance} started no requests before the change");
        assert_eq!(late, 0, "{instance} is out and started requests");
    }
}
