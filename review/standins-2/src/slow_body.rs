//! An endpoint that answers before it has read long bodies, keeps the connections and reads on later.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
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

/// Length of a long body: more than the socket buffers of both ends take, and below `max_body_bytes`, which is
/// 67,108,864.
const LONG: usize = 10 << 20;

/// Bytes a second at which the endpoint reads on.
const RATE: usize = 1 << 20;

/// Number of long requests, of which about half go to the endpoint that rejects them early.
const LONG_REQUESTS: usize = 24;

/// Short requests before the long ones, and after them.
const BEFORE: usize = 400;
const AFTER: usize = 200;

/// Timeout of the route of the short requests, and the time after it within which they have to be answered.
const TIMEOUT: Duration = Duration::from_millis(1_000);
const ALLOWANCE: Duration = Duration::from_millis(500);

/// What became of a request.
struct End {
    long: bool,
    answer: Answer,
    took: Duration,
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    configure(&store);
    let site = Site::new(record, &setting.root, store.address);
    let machines = site.machines(FILES, &["hafenhalle", "nordkuehl"]);
    let endpoints = Endpoint::beside(record, &machines);
    if !machines.iter().all(|machine| machine.await_ready(Duration::from_secs(20))) {
        return Verdict::Unfit("a daemon was not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    let callers = machines[0].callers;
    let ends: Arc<Mutex<Vec<End>>> = Arc::default();
    let send = |id: String, long: bool| -> JoinHandle<()> {
        let (record, ends) = (record.clone(), Arc::clone(&ends));
        thread::spawn(move || {
            let (method, path, deadline_ms, body) = if long {
                ("POST", format!("/file/{id}"), 1_500, vec![b'x'; LONG])
            } else {
                ("GET", format!("/book/{id}"), 1_000, Vec::new())
            };
            let request =
                Request { method, path, host: HOST.to_owned(), id, deadline_ms, key: None, body };
            let (answer, took) = http::send(&record, callers, &request, Duration::from_secs(4));
            ends.lock().unwrap().push(End { long, answer, took });
        })
    };
    let mut clients = Vec::new();
    for number in 0..BEFORE {
        clients.push(send(format!("a{number}"), false));
        thread::sleep(Duration::from_millis(25));
    }
    // The endpoint beside the machine that takes the requests; the other one stays sound.
    if setting.trouble {
        endpoints[0].reject_early(1 << 20, RATE);
    }
    for number in 0..LONG_REQUESTS {
        clients.push(send(format!("l{number}"), true));
        thread::sleep(Duration::from_millis(60));
    }
    for number in 0..AFTER {
        clients.push(send(format!("b{number}"), false));
        thread::sleep(Duration::from_millis(25));
    }
    for client in clients {
        client.join().expect("client ends");
    }
    let early = endpoints[0].rejected_early();
    let ends = ends.lock().unwrap();
    let short = || ends.iter().filter(|end| !end.long);
    let over = short().filter(|end| end.took > TIMEOUT).count();
    let unanswered = short().filter(|end| end.took > TIMEOUT + ALLOWANCE).count();
    let silent = short().filter(|end| matches!(end.answer, Answer::Silent)).count();
    record.say(&format!(
        "the endpoint rejected {early} long requests early, of {} that reached it",
        endpoints[0].arrivals().len()
    ));
    record.say(&format!(
        "short requests: {}, longer than their route's timeout: {over}, of these without an answer 0.5 s later: \
         {unanswered}, without any after 4 s: {silent}",
        short().count()
    ));
    if setting.trouble && early < 8 {
        return Verdict::Unfit("too few requests were rejected early".to_owned());
    }
    if unanswered >= 8 && unanswered * 4 > over { Verdict::Broken } else { Verdict::Held }
}
