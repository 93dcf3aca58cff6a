//! The store turns one machine away, while the operator takes a zone back and evacuates it again. Checks the rule EVAC.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins::client::Clients;
use review_standins::fleet::Fleet;
use review_standins::fleet::ZONES;
use review_standins::trouble;

/// Bounds `evacuate` and `stable`.
const EVACUATE: Duration = Duration::from_secs(5);
const STABLE: Duration = Duration::from_secs(3);

fn main() {
    let fleet = Fleet::start(8, 4);
    let record = fleet.record.clone();
    let clients = Clients::new(&record);
    for machine in &fleet.machines {
        clients.start(&machine.name, machine.outbound, Duration::from_millis(100), |r| r.draw() as u16);
    }
    thread::sleep(Duration::from_secs(4));
    let zone = ZONES[3];
    fleet.store.put("evacuations", zone, "{}");
    thread::sleep(Duration::from_secs(3));

    // One of the machines that wait for evacuations at the store.
    let follows = fleet.machines.iter().filter(|machine| machine.zone != zone && machine.door.follows());
    let machine = follows.clone().next().or_else(|| fleet.machines.iter().find(|m| m.door.follows()));
    let Some(machine) = machine else { fleet.give_up("no machine follows the store") };
    let begun = Instant::now();
    let away = trouble() != "0";
    if away {
        record.say(&format!("the store turns {} away", machine.name));
        fleet.store.turn_away(&machine.door, true);
    }
    thread::sleep(Duration::from_secs(1));
    fleet.store.remove("evacuations", zone);
    thread::sleep(Duration::from_secs(3));
    fleet.store.put("evacuations", zone, "{}");
    let acknowledged = Instant::now();
    thread::sleep(Duration::from_secs(9).saturating_sub(begun.elapsed()));
    if away {
        record.say(&format!("the store serves {} again", machine.name));
        fleet.store.turn_away(&machine.door, false);
    }
    // From here on all machines are in touch, and the bound is over.
    let from = (acknowledged + EVACUATE).max(Instant::now() + STABLE);
    thread::sleep(from.saturating_duration_since(Instant::now()) + Duration::from_secs(10));
    fleet.store.remove("evacuations", zone);
    let until = Instant::now();
    clients.stop();
    let mut late = 0;
    for machine in fleet.machines.iter().filter(|machine| machine.zone == zone) {
        let arrivals = machine.endpoint.iter().flat_map(|endpoint| endpoint.arrivals_after(from));
        let arrivals: Vec<_> = arrivals.filter(|(at, _)| *at < until).collect();
        if let Some((at, id)) = arrivals.first() {
            let after = at.saturating_duration_since(acknowledged).as_millis();
            record.say(&format!(
                "BREACH of EVAC: {id} reaches the endpoint of {} {after} ms after the evacuation was acknowledged", machine.name
            ));
        }
        late += arrivals.len();
    }
    record.say(&format!("EVAC: {late} requests reached endpoints in {zone} later than {EVACUATE:?} after its evacuation"));
    fleet.finish(late > 0);
}
