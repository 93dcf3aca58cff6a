//! The store comes back from a copy that is some seconds old; later the operator evacuates a zone. Checks the rule EVAC.

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

    let copy = fleet.store.copy();
    let copied = Instant::now();
    // Planned work: a zone is evacuated and taken back.
    fleet.store.put("evacuations", ZONES[0], "{}");
    thread::sleep(Duration::from_secs(4));
    fleet.store.remove("evacuations", ZONES[0]);
    thread::sleep(Duration::from_secs(2));
    if trouble() != "0" {
        record.say(&format!("disruption, {} ms after the copy", copied.elapsed().as_millis()));
        fleet.store.leave();
        thread::sleep(Duration::from_secs(1));
        fleet.store.come_back(Some(copy));
        // What the operator wrote is written again.
        fleet.store.put("evacuations", ZONES[0], "{}");
        fleet.store.remove("evacuations", ZONES[0]);
    }
    thread::sleep(STABLE + Duration::from_secs(3));
    let zone = ZONES[3];
    fleet.store.put("evacuations", zone, "{}");
    let acknowledged = Instant::now();
    let from = acknowledged + EVACUATE;
    thread::sleep(EVACUATE + Duration::from_secs(10));
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
