//! A machine stands still for two seconds while the operator takes its zone out and back and takes the next one out.
//! Its keys go to another endpoint and come back under the fence that it had before.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins::KEYS;
use review_standins::client::Clients;
use review_standins::fleet::DESK;
use review_standins::fleet::FILES;
use review_standins::fleet::Fleet;
use review_standins::fleet::SIGCONT;
use review_standins::fleet::SIGSTOP;
use review_standins::json::Json;
use review_standins::trouble;

/// Zones of the machines with endpoints of the service that is divided by key.
const DESK_ZONES: [&str; 8] = [
    "hafenhalle", "hafenhalle", "hafenhalle", "hafenhalle", "hafenhalle", "nordkuehl", "nordkuehl", "welsdepot",
];

/// Grants that arrive within this time after their sender was thawed don't count (`heal_slack`).
const HEAL_SLACK: Duration = Duration::from_millis(300);

/// A machine that stands still for longer may lose its keys to others, which is another case.
const LONGEST_FREEZE: Duration = Duration::from_millis(2_300);

/// Owned slices by instance, from a stored record.
fn slices(spec: &Json) -> BTreeMap<String, BTreeSet<usize>> {
    let members: Vec<String> = spec
        .get("members")
        .map(Json::as_list)
        .unwrap_or_default()
        .iter()
        .map(|m| m.get("instance").and_then(Json::as_str).unwrap_or_default().to_owned())
        .collect();
    let mut owned: BTreeMap<String, BTreeSet<usize>> = members.iter().map(|m| (m.clone(), BTreeSet::new())).collect();
    let mut slice = 0;
    for group in spec.get("owners").map(Json::as_list).unwrap_or_default() {
        let group = group.as_list();
        let count = group.first().and_then(Json::as_u64).unwrap_or(0) as usize;
        if let Some(owner) = group.get(1).and_then(Json::as_u64).and_then(|index| members.get(index as usize)) {
            owned.entry(owner.clone()).or_default().extend(slice..slice + count);
        }
        slice += count;
    }
    owned
}

fn main() {
    let trouble = trouble() != "0";
    let mut fleet = Fleet::new();
    for (index, zone) in DESK_ZONES.iter().enumerate() {
        fleet.add(DESK, &format!("desk-{}", index + 1), zone);
    }
    fleet.add(FILES, "files-1", "steyrbecken");
    if !fleet.wait_served(Duration::from_secs(25)) {
        fleet.give_up("the deployment did not come up");
    }
    let clients = Clients::new(&fleet.record);
    for machine in &fleet.machines {
        clients.start(&machine.name, machine.outbound, Duration::from_millis(100), |random| {
            (random.draw() % KEYS as u64) as u16
        });
    }
    thread::sleep(Duration::from_secs(3));
    let writes = fleet.store.observe();
    let begun = Instant::now();
    let mut cycles = 0;
    while begun.elapsed() < Duration::from_secs(65) && fleet.ledger.breaches().0 == 0 {
        cycles += 1;
        fleet.record.say(&format!("cycle {cycles}"));
        let mut before = fleet.store.get("rattanarch-records", DESK).map(|spec| slices(&spec)).unwrap_or_default();
        while writes.try_recv().is_ok() {}
        fleet.store.put("evacuations", "hafenhalle", "{}");
        let out = Instant::now();
        // The first machine of the zone whose keys are moved by a write of another machine.
        let mut frozen: Option<(usize, Instant, BTreeSet<usize>)> = None;
        while out.elapsed() < Duration::from_millis(1_500) && frozen.is_none() {
            let Ok(write) = writes.recv_timeout(Duration::from_millis(100)) else { continue };
            if write.name != DESK {
                continue;
            }
            let after = slices(&write.spec);
            let given = fleet.machines.iter().position(|machine| {
                machine.zone == "hafenhalle"
                    && machine.door.address != write.door
                    && before.get(&machine.name).is_some_and(|had| had.len() > 50)
                    && after.get(&machine.name).is_some_and(BTreeSet::is_empty)
            });
            if let Some(machine) = given {
                let had = before.get(&fleet.machines[machine].name).cloned().unwrap_or_default();
                if trouble {
                    fleet.signal(machine, SIGSTOP);
                }
                frozen = Some((machine, Instant::now(), had));
            }
            before = after;
        }
        if let Some((machine, since, had)) = frozen {
            let others = |fleet: &Fleet| {
                let now = fleet.store.get("rattanarch-records", DESK).map(|spec| slices(&spec)).unwrap_or_default();
                let name = &fleet.machines[machine].name;
                now.get(name).map_or(0, |own| own.intersection(&had).count())
            };
            // The other endpoints take the keys with their next heartbeats.
            thread::sleep(Duration::from_millis(900).saturating_sub(since.elapsed()));
            fleet.store.remove("evacuations", "hafenhalle");
            thread::sleep(Duration::from_millis(60));
            fleet.store.put("evacuations", "nordkuehl", "{}");
            while others(&fleet) == 0 && since.elapsed() < LONGEST_FREEZE {
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(Duration::from_millis(150).min(LONGEST_FREEZE.saturating_sub(since.elapsed())));
            fleet.record.say(&format!(
                "{} owns {} of its {} slices again, {} ms after it gave them away",
                fleet.machines[machine].name, others(&fleet), had.len(), since.elapsed().as_millis()
            ));
            if trouble {
                if let Some(endpoint) = &fleet.machines[machine].endpoint {
                    fleet.ledger.excuse(endpoint.life, Instant::now() + HEAL_SLACK);
                }
                fleet.signal(machine, SIGCONT);
            }
        } else {
            fleet.record.say("no machine gave its keys by a write of another machine");
            fleet.store.remove("evacuations", "hafenhalle");
            thread::sleep(Duration::from_millis(100));
            fleet.store.put("evacuations", "nordkuehl", "{}");
        }
        thread::sleep(Duration::from_secs(2));
        fleet.store.remove("evacuations", "nordkuehl");
        thread::sleep(Duration::from_secs(4));
        fleet.say_holds();
    }
    clients.stop();
    fleet.ledger.finish();
    let (fences, both_began, both_held) = fleet.ledger.breaches();
    fleet.record.say(&format!(
        "keys with a fence that was not above all others: {fences}; keys on which two holders began requests: \
         {both_began}; keys that two held for over 500 ms: {both_held}; cycles: {cycles}"
    ));
    // The other counts have excuses that this check does not know; they are only told.
    fleet.finish(fences > 0)
}
