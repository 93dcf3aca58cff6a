//! The operator works on the zones one after the other: takes one back and takes the next one out. Checks the rule EVAC.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins::client::Clients;
use review_standins::fleet::Fleet;
use review_standins::fleet::ZONES;
use review_standins::trouble;

/// Bound `evacuate`.
const EVACUATE: Duration = Duration::from_secs(5);

/// How long each zone is out.
const OUT: Duration = Duration::from_secs(8);

fn main() {
    let fleet = Fleet::start(8, 4);
    let record = fleet.record.clone();
    let clients = Clients::new(&record);
    for machine in &fleet.machines {
        clients.start(&machine.name, machine.outbound, Duration::from_millis(100), |r| r.draw() as u16);
    }
    thread::sleep(Duration::from_secs(3));
    let mut late = 0;
    for index in 0..6 {
        let zone = ZONES[index % ZONES.len()];
        if index > 0 {
            fleet.store.remove("evacuations", ZONES[(index - 1) % ZONES.len()]);
            if trouble() == "0" {
                // Without the second change in the same moment.
                thread::sleep(Duration::from_secs(1));
            }
        }
        fleet.store.put("evacuations", zone, "{}");
        let acknowledged = Instant::now();
        thread::sleep(OUT);
        let until = Instant::now();
        let mut reached = 0;
        for machine in fleet.machines.iter().filter(|machine| machine.zone == zone) {
            let arrivals = machine.endpoint.iter().flat_map(|e| e.arrivals_after(acknowledged + EVACUATE));
            let arrivals: Vec<_> = arrivals.filter(|(at, _)| *at < until).collect();
            if let Some((at, id)) = arrivals.first() {
                let after = at.saturating_duration_since(acknowledged).as_millis();
                record.say(&format!(
                    "BREACH of EVAC: {id} reaches the endpoint of {} {after} ms after the evacuation was acknowledged",
                    machine.name
                ));
            }
            reached += arrivals.len();
        }
        record.say(&format!("{reached} requests reached endpoints in {zone} later than {EVACUATE:?} after its evacuation"));
        late += reached;
    }
    clients.stop();
    record.say(&format!("EVAC: {late} requests reached endpoints of evacuated zones too late"));
    fleet.finish(late > 0);
}
