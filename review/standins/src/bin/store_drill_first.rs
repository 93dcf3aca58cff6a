//! Soon after the first start of a deployment the store comes back from a copy that is some seconds old; then a machine
//! is added. Checks the rule OWNER.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins::client::Clients;
use review_standins::fleet::DESK;
use review_standins::fleet::FILES;
use review_standins::fleet::Fleet;
use review_standins::fleet::ZONES;
use review_standins::trouble;

fn main() {
    let mut fleet = Fleet::new();
    let record = fleet.record.clone();
    let copy = fleet.store.copy();
    let copied = Instant::now();
    for index in 0..4 {
        fleet.add(DESK, &format!("desk-{}", index + 1), ZONES[index]);
    }
    for index in 0..2 {
        fleet.add(FILES, &format!("files-{}", index + 1), ZONES[index]);
    }
    if !fleet.wait_served(Duration::from_secs(25)) {
        fleet.give_up("the deployment did not come up");
    }
    fleet.say_holds();
    let clients = Clients::new(&record);
    for machine in &fleet.machines {
        clients.start(&machine.name, machine.outbound, Duration::from_millis(100), |r| r.draw() as u16);
    }
    thread::sleep(Duration::from_secs(2));
    if trouble() != "0" {
        record.say(&format!("disruption, {} ms after the copy", copied.elapsed().as_millis()));
        fleet.store.leave();
        thread::sleep(Duration::from_secs(1));
        fleet.store.come_back(Some(copy));
    }
    thread::sleep(Duration::from_secs(5));
    // Planned work: an endpoint is added.
    fleet.add(DESK, "desk-5", ZONES[0]);
    let machine = &fleet.machines[fleet.machines.len() - 1];
    clients.start(&machine.name, machine.outbound, Duration::from_millis(100), |r| r.draw() as u16);
    for _ in 0..4 {
        thread::sleep(Duration::from_secs(5));
        fleet.say_holds();
    }
    clients.stop();
    fleet.ledger.finish();
    let (fences, began, held) = fleet.ledger.breaches();
    record.say(&format!(
        "OWNER: {fences} keys taken with a fence not above all others, {began} keys with requests begun by two \
         holders, {held} keys held by two for over half a second"
    ));
    fleet.finish(fences + began + held > 0);
}
