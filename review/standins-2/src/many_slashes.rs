//! A crowd that sends requests of legal size ahead, at a path without a route that has very many short segments.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
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
use crate::record::Recorder;

/// Connections of the crowd, and the pause of each between two requests: 150 requests of 16 kB a second in all, two
/// hundredths of what the machine's link carries.
const CROWD: usize = 60;
const PAUSE: Duration = Duration::from_millis(400);

/// Bytes of a path. The head stays below `max_header_bytes`, which is 16,384.
const PATH: usize = 15_800;

/// How long the crowd stays.
const STAY: Duration = Duration::from_secs(25);

/// Timeout of the route of the ordinary requests, and the time after it within which they have to be answered.
const TIMEOUT: Duration = Duration::from_millis(1_000);
const ALLOWANCE: Duration = Duration::from_millis(500);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    configure(&store);
    let site = Site::new(record, &setting.root, store.address);
    let machines = site.machines(FILES, &["hafenhalle", "nordkuehl"]);
    let _endpoints = Endpoint::beside(record, &machines);
    if !machines.iter().all(|machine| machine.await_ready(Duration::from_secs(20))) {
        return Verdict::Unfit("a daemon was not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    let callers = machines[0].callers;
    let calm = ordinary_requests(record, callers, "a", Duration::from_secs(5));
    if calm.served != calm.sent {
        return Verdict::Unfit("ordinary requests failed in calm".to_owned());
    }
    let size = if setting.trouble { CROWD } else { 0 };
    let crowd: Vec<_> = (0..size)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || press(&record, callers, number))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let beside = ordinary_requests(record, callers, "b", STAY - Duration::from_secs(6));
    let sent: usize = crowd.into_iter().map(|client| client.join().unwrap_or_default()).sum();
    record.say(&format!("requests of the crowd: {sent}"));
    record.say(&format!("ordinary requests before it: {calm:?}"));
    record.say(&format!("ordinary requests beside it: {beside:?}"));
    if beside.unanswered >= 8 && beside.unanswered * 4 > beside.over {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// What became of ordinary requests.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    sent: usize,
    /// Those with a whole response of an endpoint.
    served: usize,
    /// Those that lasted longer than their route's timeout.
    over: usize,
    /// Of these, those without a final answer 0.5 s later.
    unanswered: usize,
    /// Those without any answer after 5 s.
    silent: usize,
}

/// Sends ten ordinary requests a second for `time`.
fn ordinary_requests(record: &Recorder, to: SocketAddr, name: &str, time: Duration) -> Ends {
    let ends: Arc<Mutex<Ends>> = Arc::default();
    let clients: Vec<_> = (0..(time.as_millis() / 100))
        .map(|number| {
            let (record, ends) = (record.clone(), Arc::clone(&ends));
            let id = format!("{name}{number}");
            let client = thread::spawn(move || {
                let request = Request {
                    method: "GET",
                    path: format!("/book/{id}"),
                    host: HOST.to_owned(),
                    id,
                    deadline_ms: 1_000,
                    key: None,
                    body: Vec::new(),
                };
                let (answer, took) = http::send(&record, to, &request, Duration::from_secs(5));
                let mut ends = ends.lock().unwrap();
                ends.sent += 1;
                match answer {
                    Answer::Whole { status: 200, stamped: true } => ends.served += 1,
                    Answer::Silent => ends.silent += 1,
                    Answer::Whole { .. } | Answer::Cut => {}
                }
                ends.over += usize::from(took > TIMEOUT);
                ends.unanswered += usize::from(took > TIMEOUT + ALLOWANCE);
            });
            thread::sleep(Duration::from_millis(100));
            client
        })
        .collect();
    for client in clients {
        client.join().expect("client ends");
    }
    let ends = ends.lock().unwrap();
    *ends
}

/// Sends requests ahead without reading the answers; returns how many.
fn press(record: &Recorder, to: SocketAddr, number: usize) -> usize {
    let end = record.now() + STAY;
    let path = match std::env::var("SEGMENTS").as_deref() {
        // The same crowd with paths of the same length, but of one segment.
        Ok("1") => format!("/{}", "x".repeat(PATH - 1)),
        _ => "/".repeat(PATH),
    };
    let Ok(mut stream) = TcpStream::connect(to) else { return 0 };
    // A write that the daemon doesn't take for so long ends the client.
    let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
    let mut sent = 0;
    while record.now() < end {
        let id = format!("crowd-{number}-{sent}");
        let head = format!(
            "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 1000\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            break;
        }
        record.line(&format!("client sends {id}, {} bytes", head.len()));
        sent += 1;
        thread::sleep(PAUSE);
    }
    sent
}
