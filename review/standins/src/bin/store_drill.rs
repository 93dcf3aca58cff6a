//! The store comes back from a copy that is some seconds old, and all processes of the system are killed meanwhile.
//! Checks the rule OWNER. `TROUBLE=kill` and `TROUBLE=drill` play one half of the disruption.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins::client::Clients;
use review_standins::fleet::DESK;
use review_standins::fleet::Fleet;
use review_standins::fleet::ZONES;
use review_standins::trouble;

fn main() {
    let trouble = trouble();
    let (drill, kill) = (["1", "drill"].contains(&&*trouble), ["1", "kill"].contains(&&*trouble));
    let mut fleet = Fleet::start(4, 2);
    let record = fleet.record.clone();
    let clients = Clients::new(&record);
    for machine in &fleet.machines {
        clients.start(&machine.name, machine.outbound, Duration::from_millis(100), |r| r.draw() as u16);
    }
    thread::sleep(Duration::from_secs(4));
    fleet.say_holds();

    let copy = fleet.store.copy();
    let copied = Instant::now();
    // Planned work: an endpoint is added, and gets keys.
    fleet.add(DESK, "desk-5", ZONES[0]);
    let added = fleet.machines.len() - 1;
    let joined = fleet.wait(Duration::from_secs(15), || {
        fleet.machines[added].endpoint.as_ref().is_some_and(|endpoint| endpoint.held() >= 8_192)
    });
    fleet.say_holds();
    if !joined {
        fleet.give_up("the added endpoint got too few keys");
    }
    if drill || kill {
        record.say(&format!("disruption, {} ms after the copy", copied.elapsed().as_millis()));
    }
    if drill {
        fleet.store.leave();
    }
    if kill {
        (0..fleet.machines.len()).for_each(|index| fleet.kill(index));
    }
    thread::sleep(Duration::from_secs(1));
    if drill {
        fleet.store.come_back(Some(copy));
    }
    if kill {
        (0..fleet.machines.len()).for_each(|index| fleet.restart(index));
    }
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
