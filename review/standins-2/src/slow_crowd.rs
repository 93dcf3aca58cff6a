//! A crowd of clients that send bodies of legal size very slowly, beside ordinary clients that open new connections.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use rattanarch_adapter_standins::Store;

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

/// Clients that send slowly, the length of a body, and what each sends at once, with the pause between two pieces.
const CROWD: usize = 900;
const LENGTH: usize = 1 << 20;
const PIECE: usize = 1_100;
const PAUSE: Duration = Duration::from_millis(700);

/// How long the crowd stays.
const STAY: Duration = Duration::from_secs(15);

/// Ordinary clients that try at once, and the pause of each between two tries.
const ORDINARY: usize = 10;
const ORDINARY_PAUSE: Duration = Duration::from_millis(250);

/// `stable` of the site hummer-mesh.
const STABLE: Duration = Duration::from_millis(3_000);

/// A try of an ordinary client.
struct Try {
    client: usize,
    at: Duration,
    answered: bool,
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    configure(&store);
    let site = Site::new(record, &setting.root, store.address);
    let machines = site.machines(&["hafenhalle", "nordkuehl"]);
    let _endpoints = Endpoint::beside(record, &machines);
    if !machines.iter().all(|machine| machine.await_ready(Duration::from_secs(20))) {
        return Verdict::Unfit("a daemon was not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    let machine = &machines[0];
    let crowd = if setting.trouble { open_crowd(record, machine.callers) } else { Vec::new() };
    record.say(&format!("clients that send slowly: {}", crowd.len()));
    let begin = record.now();
    let end = begin + STAY;
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let clients: Vec<_> = (0..ORDINARY)
        .map(|client| {
            let (record, tries, to) = (record.clone(), Arc::clone(&tries), machine.callers);
            thread::spawn(move || {
                for number in 0.. {
                    let at = record.now();
                    if at > end {
                        break;
                    }
                    let answered = is_answered(&record, to, &format!("o{client}-{number}"));
                    tries.lock().unwrap().push(Try { client, at, answered });
                    thread::sleep(ORDINARY_PAUSE);
                }
            })
        })
        .collect();
    let senders: Vec<_> = send_slowly(record, crowd, end);
    let mut is_ready = true;
    while record.now() < end {
        is_ready &= machine.is_ready();
        thread::sleep(Duration::from_secs(1));
    }
    for thread in clients.into_iter().chain(senders) {
        thread.join().expect("client ends");
    }
    let tries = tries.lock().unwrap();
    let answered = tries.iter().filter(|attempt| attempt.answered).count();
    record.say(&format!(
        "tries of {ORDINARY} ordinary clients: {}, answered: {answered}; the machine says that it is ready: {is_ready}",
        tries.len()
    ));
    if is_ready && is_closed_for_stable(&tries, begin, end) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Whether there is a span of `stable` in which seven clients or more try and none is answered.
fn is_closed_for_stable(tries: &[Try], begin: Duration, end: Duration) -> bool {
    let starts = (0..).map(|step| begin + Duration::from_millis(250) * step);
    starts.take_while(|start| *start + STABLE <= end).any(|start| {
        let inside =
            || tries.iter().filter(|attempt| attempt.at >= start && attempt.at < start + STABLE);
        let mut clients: Vec<_> = inside().map(|attempt| attempt.client).collect();
        clients.sort_unstable();
        clients.dedup();
        clients.len() >= 7 && !inside().any(|attempt| attempt.answered)
    })
}

/// Whether a request on a connection of its own gets any answer.
fn is_answered(record: &Recorder, to: SocketAddr, id: &str) -> bool {
    let request = Request {
        method: "GET",
        path: format!("/book/{id}"),
        host: HOST.to_owned(),
        id: id.to_owned(),
        deadline_ms: 1_000,
        body: Vec::new(),
    };
    let (answer, _) = http::send(record, to, &request, Duration::from_millis(1_500));
    matches!(answer, Answer::Whole { .. })
}

fn open_crowd(record: &Recorder, to: SocketAddr) -> Vec<TcpStream> {
    let open = |number: usize| -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(to)?;
        let head = format!(
            "POST /file/{number} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: slow-{number}\r\n\
             x-deadline-ms: 1500\r\ncontent-length: {LENGTH}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(&[b'x'; PIECE])?;
        record.line(&format!("client sends slow-{number}: a body of {LENGTH} bytes, slowly"));
        Ok(stream)
    };
    (0..CROWD).filter_map(|number| open(number).ok()).collect()
}

/// Sends a piece of each body at each pause, until `end`.
fn send_slowly(
    record: &Recorder,
    crowd: Vec<TcpStream>,
    end: Duration,
) -> Vec<thread::JoinHandle<()>> {
    let mut crowd = crowd.into_iter();
    let mut senders = Vec::new();
    loop {
        let mut group: Vec<_> = crowd.by_ref().take(100).collect();
        if group.is_empty() {
            return senders;
        }
        let record = record.clone();
        senders.push(thread::spawn(move || {
            while record.now() < end {
                // A client whose connection was closed stays away.
                group.retain_mut(|stream| stream.write_all(&[b'x'; PIECE]).is_ok());
                thread::sleep(PAUSE);
            }
        }));
    }
}
