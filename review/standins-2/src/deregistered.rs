//! An endpoint that deregisters, and whose daemon is stopped and started again while the endpoint serves on.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use rattanarch_adapter_standins::Store;

use crate::FILES;
use crate::HOST;
use crate::Setting;
use crate::Verdict;
use crate::configure;
use crate::endpoint::Endpoint;
use crate::fleet::Site;
use crate::http;
use crate::http::Answer;
use crate::http::Request;

/// `drain` and `stable` of the site hummer-mesh.
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE: Duration = Duration::from_millis(3_000);

/// How long the endpoint serves on after its departure was acknowledged.
const STAY: Duration = Duration::from_secs(14);

/// How late the heartbeat arrives that the endpoint has sent just before its departure, with `BEATS=0`.
const LATE: Duration = Duration::from_millis(3_500);

/// Requests a second, and how long one runs.
const RATE: u32 = 20;
const WORK: Duration = Duration::from_millis(300);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    configure(&store);
    let site = Site::new(record, &setting.root, store.address);
    let mut machines = site.machines(FILES, &["hafenhalle"; 3]);
    let endpoints = Endpoint::beside(record, &machines);
    if !machines.iter().all(|machine| machine.await_ready(Duration::from_secs(20))) {
        return Verdict::Unfit("a daemon was not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    for endpoint in &endpoints {
        endpoint.set_work(WORK);
    }
    // Machine 1 takes the requests, the endpoint of machine 3 leaves.
    let callers = machines[0].callers;
    let ends: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let traffic = {
        let (record, ends) = (record.clone(), Arc::clone(&ends));
        thread::spawn(move || {
            let clients: Vec<_> = (0..RATE * 22)
                .map(|number| {
                    let (record, ends) = (record.clone(), Arc::clone(&ends));
                    let client = thread::spawn(move || {
                        let request = Request {
                            method: "POST",
                            path: format!("/file/{number}"),
                            host: HOST.to_owned(),
                            id: format!("r{number}"),
                            deadline_ms: 1_500,
                            key: None,
                            body: b"pledge".to_vec(),
                        };
                        let patience = Duration::from_secs(2);
                        let (answer, _) = http::send(&record, callers, &request, patience);
                        ends.lock().unwrap().push((request.id, answer));
                    });
                    thread::sleep(Duration::from_secs(1) / RATE);
                    client
                })
                .collect();
            for client in clients {
                client.join().expect("client ends");
            }
        })
    };
    thread::sleep(Duration::from_secs(4));
    let leaving = &endpoints[2];
    let before = leaving.arrivals().len();
    if before == 0 {
        return Verdict::Unfit("the endpoint got no requests at first".to_owned());
    }
    if std::env::var("BEATS").is_ok_and(|value| value == "0") {
        // It sends no heartbeat after its departure, but the last one before is late.
        leaving.send_last_beat(LATE);
    }
    if !leaving.deregister() {
        return Verdict::Unfit("the departure was not acknowledged".to_owned());
    }
    let acknowledged = record.now();
    if setting.trouble {
        machines[2].signal("TERM");
        machines[2].wait();
        machines[2].restart(&setting.root);
    }
    // Machines count as in touch again `stable` after the start of their processes.
    let in_touch = if setting.trouble { record.now() + STABLE } else { acknowledged };
    while record.now() < acknowledged + STAY {
        thread::sleep(Duration::from_millis(50));
    }
    leaving.exit();
    traffic.join().expect("clients end");
    let bound = in_touch.max(acknowledged + DRAIN);
    let arrivals = leaving.arrivals();
    let late: Vec<_> = arrivals.iter().filter(|arrival| arrival.at > bound).collect();
    let ends = ends.lock().unwrap();
    let is_served = |id: &str| {
        let served = Answer::Whole { status: 200, stamped: true };
        ends.iter().any(|(end, answer)| end == id && *answer == served)
    };
    let lost = late.iter().filter(|arrival| !is_served(&arrival.id)).count();
    record.say(&format!("requests that reached the endpoint before its departure: {before}"));
    record.say(&format!(
        "later than `drain` after the acknowledgement, by machines in touch: {}, of these lost with the endpoint: {lost}",
        late.len()
    ));
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}
