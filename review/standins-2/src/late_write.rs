//! A write of the ownership record that the store executes late, and a store that is restored from a copy meanwhile.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use rattanarch_adapter_standins::Store;

use crate::DESK;
use crate::HOST;
use crate::Setting;
use crate::Verdict;
use crate::configure;
use crate::endpoint::Endpoint;
use crate::fleet::Site;
use crate::gate::Gate;
use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::record::Recorder;

/// How much later the store executes the write: `platform_lost` with `late` has 1 to 6 s.
const LATE: Duration = Duration::from_millis(6_000);

/// Time from the copy's state to its restore, in which the machine that joins gets its keys.
const COPY_AGE: Duration = Duration::from_millis(4_500);

/// How long the store is away when it is restored.
const AWAY: Duration = Duration::from_millis(300);

/// `recovery` of the site hummer-mesh.
const RECOVERY: Duration = Duration::from_secs(15);

/// Pause between the restarts of two machines.
const GAP: Duration = Duration::from_secs(2);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    configure(&store);
    let gate = Gate::start(record, store.address);
    let site = Site::new(record, &setting.root, gate.address);
    let mut machines = site.machines(DESK, &["hafenhalle", "nordkuehl", "welsdepot"]);
    let mut endpoints = Endpoint::beside(record, &machines);
    if !machines.iter().all(|machine| machine.await_ready(Duration::from_secs(20))) {
        return Verdict::Unfit("a daemon was not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    let callers: Vec<_> = machines.iter().map(|machine| machine.callers).collect();
    let before = served(record, &callers, "a");
    record.say(&format!("requests served in calm: {before} of {REQUESTS}"));
    let copy = store.copy();
    // With the drill alone, no write is late.
    let is_late = setting.trouble && std::env::var("LATE").as_deref() != Ok("0");
    if is_late {
        gate.hold_write(1, LATE);
    }
    // A machine is added: it joins, and gets keys of the others.
    let added = site.machine(4, DESK, "steyrbecken", false);
    endpoints.push(Endpoint::start(record, 4, &added));
    machines.push(added);
    let begin = record.now();
    while is_late && gate.held() == 0 {
        if record.now() > begin + Duration::from_secs(10) {
            return Verdict::Unfit("no second write of the record came".to_owned());
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(COPY_AGE);
    if setting.trouble {
        record.say("the store is restored from its copy");
        store.set_down(true);
        thread::sleep(AWAY);
        store.restore(copy);
        store.set_down(false);
        thread::sleep(Duration::from_secs(5));
        if is_late && gate.executed() == 0 {
            return Verdict::Unfit("the condition of the late write did not hold".to_owned());
        }
    }
    let between = served(record, &callers, "b");
    record.say(&format!("requests served after the drill: {between} of {REQUESTS}"));
    for machine in &mut machines {
        machine.signal("TERM");
        machine.wait();
        machine.restart(&setting.root);
        thread::sleep(GAP);
    }
    thread::sleep(RECOVERY);
    let after = served(record, &callers, "c");
    record.say(&format!(
        "requests served later than `recovery` after all machines were restarted in turn: {after} of {REQUESTS}"
    ));
    if before * 4 < REQUESTS {
        return Verdict::Unfit("too few requests were served in calm".to_owned());
    }
    if after * 4 < REQUESTS { Verdict::Broken } else { Verdict::Held }
}

/// Requests of one measurement.
const REQUESTS: usize = 120;

/// Sends requests for keys all over the range to all machines in turn; returns how many were served.
fn served(record: &Recorder, callers: &[SocketAddr], name: &str) -> usize {
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (record, to) = (record.clone(), callers[number % callers.len()]);
            let id = format!("{name}{number}");
            let key = (number * 65_536 / REQUESTS) as u16;
            let client = thread::spawn(move || {
                let request = Request {
                    method: "GET",
                    path: format!("/look/{id}"),
                    host: HOST.to_owned(),
                    id,
                    deadline_ms: 1_200,
                    key: Some(key),
                    body: Vec::new(),
                };
                let (answer, _) = http::send(&record, to, &request, Duration::from_secs(3));
                answer == Answer::Whole { status: 200, stamped: true }
            });
            thread::sleep(Duration::from_millis(20));
            client
        })
        .collect();
    clients.into_iter().filter_map(|client| client.join().ok()).filter(|served| *served).count()
}
