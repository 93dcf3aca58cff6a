//! Stand-in for an application endpoint.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::FILES;
use crate::fleet::BEAT;
use crate::fleet::Machine;
use crate::http;
use crate::http::Head;
use crate::record::Recorder;

/// Slots that heartbeats state.
const SLOTS: u16 = 18;

/// Time within which a call to the daemon has to be acknowledged.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until the next heartbeat after keys were released.
const RELEASE_PAUSE: Duration = Duration::from_millis(100);

/// A request that reached an endpoint; health checks are left out.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Duration,
}

struct State {
    born: u64,
    sequence: u64,
    /// Whether it has announced its departure.
    leaving: bool,
    /// Whether it sends heartbeats.
    beats: bool,
    ended: bool,
    arrivals: Vec<Arrival>,
    work: Duration,
    /// Bodies of at least this length are rejected before they are in, and read on at this rate in bytes a second.
    early: Option<(usize, usize)>,
    rejected_early: usize,
    /// Keys that it holds, and those that it has released since its last acknowledged heartbeat.
    held: Vec<Held>,
    released: Vec<Value>,
}

/// Keys that an endpoint holds: the first, the last, their fencing token and the end of the hold.
type Held = (u16, u16, u64, Instant);

/// An endpoint.
#[derive(Clone)]
pub struct Endpoint {
    id: String,
    service: &'static str,
    address: SocketAddr,
    control: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Recorder,
}

impl Endpoint {
    /// Starts an endpoint beside the daemon of each machine.
    pub fn beside(record: &Recorder, machines: &[Machine]) -> Vec<Self> {
        let machines = machines.iter().enumerate();
        machines.map(|(number, machine)| Self::start(record, number + 1, machine)).collect()
    }

    /// Starts an endpoint beside the daemon of `machine`.
    pub fn start(record: &Recorder, number: usize, machine: &Machine) -> Self {
        let born = std::time::UNIX_EPOCH.elapsed().expect("clock is set").as_millis() as u64;
        let state = State {
            born,
            sequence: 0,
            leaving: false,
            beats: true,
            ended: false,
            arrivals: Vec::new(),
            work: Duration::from_millis(60),
            early: None,
            rejected_early: 0,
            held: Vec::new(),
            released: Vec::new(),
        };
        let endpoint = Self {
            id: format!("i-{number}"),
            service: machine.service,
            address: machine.upstream,
            control: machine.control,
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let listener = TcpListener::bind(endpoint.address).expect("endpoint can listen");
        let accepting = endpoint.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = endpoint.clone();
        thread::spawn(move || beating.send_beats());
        endpoint
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Sets how long a request runs.
    pub fn set_work(&self, work: Duration) {
        self.state().work = work;
    }

    /// Rejects bodies of `length` bytes or more before they are in, and reads them on at `rate` bytes a second.
    pub fn reject_early(&self, length: usize, rate: usize) {
        self.state().early = Some((length, rate));
    }

    /// Number of requests that were rejected before they were in.
    pub fn rejected_early(&self) -> usize {
        self.state().rejected_early
    }

    /// Requests that reached the endpoint.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    /// Announces its departure; returns whether that was acknowledged. It serves on, and never reports `draining`.
    pub fn deregister(&self) -> bool {
        let body = json!({ "address": self.address, "born": self.state().born });
        let path = format!("/Instances.Deregister/{}", self.id);
        let status = http::call(self.control, "POST", &path, &body.to_string(), CALL_TIMEOUT);
        self.record.say(&format!("endpoint {} deregisters: {status:?}", self.id));
        self.state().leaving = true;
        status.is_ok_and(|status| status / 100 == 2)
    }

    /// Sends one more heartbeat, which arrives after `delay`, and none after it.
    pub fn send_last_beat(&self, delay: Duration) {
        let body = self.beat();
        self.state().beats = false;
        let endpoint = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            let status = endpoint.send_beat(&body).map(|(status, _)| status);
            endpoint.record.say(&format!("late heartbeat of {}: {status:?}", endpoint.id));
        });
    }

    /// Ends the endpoint with what it runs.
    pub fn exit(&self) {
        self.state().ended = true;
        self.record.say(&format!("endpoint {} exits", self.id));
    }

    fn send_beats(&self) {
        loop {
            let (beats, ended) = {
                let state = self.state();
                (state.beats, state.ended)
            };
            if ended {
                return;
            }
            if beats {
                let sent = Instant::now();
                let body = self.beat();
                match self.send_beat(&body) {
                    Ok((200, reply)) if sent.elapsed() < CALL_TIMEOUT => self.apply(sent, &reply),
                    Ok(_) => {}
                    Err(error) => {
                        self.record.line(&format!("heartbeat of {} fails: {error}", self.id));
                    }
                }
            }
            let releases = !self.state().released.is_empty();
            thread::sleep(if releases { RELEASE_PAUSE } else { BEAT });
        }
    }

    fn send_beat(&self, body: &str) -> io::Result<(u16, String)> {
        let path = format!("/Instances.Heartbeat/{}", self.id);
        http::exchange_call(self.control, "POST", &path, body, CALL_TIMEOUT)
    }

    /// Applies the reply to the heartbeat that was sent at `sent`.
    fn apply(&self, sent: Instant, reply: &str) {
        let reply: Value = serde_json::from_str(reply).unwrap_or_default();
        let mut state = self.state();
        state.released.clear();
        let (Some(rows), Some(time)) = (reply["holds"].as_array(), reply["hold_time"].as_str())
        else {
            return;
        };
        let millis = time.trim_end_matches("ms").parse().unwrap_or_default();
        let end = sent + Duration::from_millis(millis);
        let number = |value: &Value| value.as_u64().unwrap_or_default();
        let row =
            |row: &Value| (number(&row[0]) as u16, number(&row[1]) as u16, number(&row[2]), end);
        let rows: Vec<Held> = rows.iter().map(row).collect();
        let is_kept = |held: &Held| rows.iter().any(|row| row.0 <= held.0 && held.1 <= row.1);
        let gone: Vec<_> = state.held.iter().filter(|held| !is_kept(held)).copied().collect();
        state.released =
            gone.iter().map(|held| json!([held.0, held.1, "5c0e7a21d94b36f8"])).collect();
        state.held = rows;
    }

    /// Whether it may run a request with `head`: it is the expected one and holds the key, if its service has keys.
    fn may_run(&self, head: &Head) -> bool {
        let now = Instant::now();
        let key: Option<u16> = head.get("x-shard-key").and_then(|key| key.parse().ok());
        let state = self.state();
        let holds =
            |key: u16| state.held.iter().any(|held| held.0 <= key && key <= held.1 && now < held.3);
        head.get("x-expect-instance").is_none_or(|expected| expected == self.id)
            && (self.service == FILES || key.is_some_and(holds))
    }

    fn beat(&self) -> String {
        let now = Instant::now();
        let mut state = self.state();
        state.sequence += 1;
        state.held.retain(|held| now < held.3);
        let held: Vec<_> = state.held.iter().map(|held| json!([held.0, held.1, held.2])).collect();
        json!({
            "address": self.address,
            "born": state.born,
            "info": { "service": self.service, "version": "v1", "zone": "a", "slots": SLOTS },
            "status": { "state": "ready", "sequence": state.sequence, "cold_left": "0ms" },
            "holds": held,
            "released": state.released,
        })
        .to_string()
    }

    fn accept(&self, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("listener can be polled");
        while !self.state().ended {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let endpoint = self.clone();
            thread::spawn(move || {
                // A connection that breaks ends its requests.
                let _ = endpoint.serve(stream);
            });
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        while let Some(head) = http::read_head(&mut stream)? {
            if self.state().ended {
                break;
            }
            if head.line.split(' ').nth(1) == Some("/healthz") {
                self.report_health(&mut stream)?;
            } else {
                self.answer(&mut stream, &head)?;
            }
        }
        Ok(())
    }

    fn report_health(&self, stream: &mut TcpStream) -> io::Result<()> {
        let status = if self.state().leaving { "503 Service Unavailable" } else { "200 OK" };
        let text = format!(
            "HTTP/1.1 {status}\r\nx-instance-id: {}\r\nx-server-load: 0,0,{SLOTS}\r\n\
             content-length: 0\r\n\r\n",
            self.id
        );
        stream.write_all(text.as_bytes())
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head) -> io::Result<()> {
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let early = self.state().early.filter(|(length, _)| head.length() >= *length);
        if let Some((_, rate)) = early {
            self.state().rejected_early += 1;
            self.arrive(&id, "rejects, before the body is in,");
            respond(stream, "503 Service Unavailable", &id, "x-not-executed: 1\r\n", "")?;
            return read_slowly(stream, head.length(), rate);
        }
        let mut body = vec![0; head.length()];
        stream.read_exact(&mut body)?;
        if !self.may_run(head) {
            self.arrive(&id, "may not run");
            return respond(stream, "421 Misdirected Request", &id, "x-not-executed: 1\r\n", "");
        }
        self.arrive(&id, "runs");
        let work = self.state().work;
        thread::sleep(work);
        if self.state().ended {
            self.record.line(&format!("endpoint {} ends while it runs {id}", self.id));
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        respond(stream, "200 OK", &id, "x-response-stamp: s.1\r\n", &format!("answer to {id}"))
    }

    fn arrive(&self, id: &str, how: &str) {
        let at = self.record.now();
        self.state().arrivals.push(Arrival { id: id.to_owned(), at });
        self.record.line(&format!("endpoint {} {how} {id}", self.id));
    }
}

fn respond(
    stream: &mut TcpStream,
    status: &str,
    id: &str,
    fields: &str,
    body: &str,
) -> io::Result<()> {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: {id}\r\nx-server-load: 0,0,{SLOTS}\r\n{fields}\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes())
}

/// Reads `length` bytes at `rate` bytes a second.
fn read_slowly(stream: &mut TcpStream, length: usize, rate: usize) -> io::Result<()> {
    let mut buffer = vec![0; rate / 10];
    let mut left = length;
    while left > 0 {
        let size = buffer.len().min(left);
        stream.read_exact(&mut buffer[..size])?;
        left -= size;
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}
