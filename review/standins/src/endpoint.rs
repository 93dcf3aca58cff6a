//! An application endpoint: it sends heartbeats to the daemon on its machine, holds the keys that the replies grant,
//! and runs requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::KEYS;
use crate::http;
use crate::http::Answer;
use crate::http::Message;
use crate::http::Reaction;
use crate::json::Json;
use crate::ledger::Ledger;
use crate::ledger::Life;
use crate::record::Record;

/// Time between two heartbeats, and to the next one while there are keys to give up.
pub const HEARTBEAT: Duration = Duration::from_millis(870);
const NEXT_WHILE_RELEASING: Duration = Duration::from_millis(100);

/// Reply to a heartbeat that counts: it comes within a second and is no larger.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_REPLY_BYTES: usize = 4_096;

pub const SLOTS: u32 = 18;

#[derive(Clone, Copy, Debug, Default)]
struct Hold {
    /// 0 if the key is not held.
    fence: u64,
    until: Option<Instant>,
}

#[derive(Debug)]
struct State {
    holds: Vec<Hold>,
    /// Highest fence seen, by key.
    seen: Vec<u64>,
    /// Requests at work, by key.
    working: HashMap<u16, (u32, u64)>,
    /// Keys that are given up and still worked on.
    giving_up: HashMap<u16, u64>,
    released: Vec<u16>,
    running: u32,
    sequence: u64,
    draining: bool,
    arrivals: Vec<(Instant, String)>,
    work: Duration,
}

pub struct EndpointOptions {
    pub service: String,
    pub name: String,
    pub id: String,
    pub zone: String,
    pub sharded: bool,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub work: Duration,
}

#[derive(Clone)]
pub struct Endpoint {
    pub options: Arc<EndpointOptions>,
    pub life: Life,
    born: u64,
    state: Arc<Mutex<State>>,
    ended: Arc<AtomicBool>,
    ledger: Ledger,
    record: Record,
}

impl Endpoint {
    pub fn start(options: EndpointOptions, ledger: &Ledger, record: &Record) -> Self {
        let state = State {
            holds: vec![Hold::default(); KEYS],
            seen: vec![0; KEYS],
            working: HashMap::new(),
            giving_up: HashMap::new(),
            released: Vec::new(),
            running: 0,
            sequence: 0,
            draining: false,
            arrivals: Vec::new(),
            work: options.work,
        };
        let listener = TcpListener::bind(options.address).expect("the endpoint's port is free");
        let endpoint = Self {
            life: ledger.register(&options.name),
            born: std::time::UNIX_EPOCH.elapsed().expect("time is after 1970").as_millis() as u64,
            options: Arc::new(options),
            state: Arc::new(Mutex::new(state)),
            ended: Arc::default(),
            ledger: ledger.clone(),
            record: record.clone(),
        };
        let server = endpoint.clone();
        http::serve(listener, Arc::clone(&endpoint.ended), move |request| {
            Reaction::Answer(server.answer(&request))
        });
        let heart = endpoint.clone();
        thread::spawn(move || heart.beat());
        endpoint
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread has panicked")
    }

    /// Number of keys that it holds now.
    pub fn held(&self) -> usize {
        let now = Instant::now();
        self.lock().holds.iter().filter(|hold| hold.is_held(now)).count()
    }

    /// Highest fence among the keys that it holds now.
    pub fn highest_fence(&self) -> u64 {
        let now = Instant::now();
        let state = self.lock();
        state.holds.iter().filter(|hold| hold.is_held(now)).map(|hold| hold.fence).max().unwrap_or(0)
    }

    /// Requests that reached it after `since`, except health checks and those with 421.
    pub fn arrivals_after(&self, since: Instant) -> Vec<(Instant, String)> {
        self.lock().arrivals.iter().filter(|(at, _)| *at > since).cloned().collect()
    }

    pub fn drain(&self) {
        self.lock().draining = true;
    }

    /// Ends it at once.
    pub fn stop(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    fn beat(&self) {
        while !self.ended.load(Ordering::SeqCst) {
            let sent = Instant::now();
            let body = self.heartbeat(sent);
            let target = format!("/Instances.Heartbeat/{}", self.options.id);
            let reply = http::call(
                self.options.control,
                "POST",
                &target,
                &[("content-type", "application/json")],
                body.to_string().as_bytes(),
                REPLY_TIMEOUT,
            );
            let counts = |reply: &Message| {
                (200..300).contains(&reply.status())
                    && reply.body.len() <= MAX_REPLY_BYTES
                    && sent.elapsed() < REPLY_TIMEOUT
            };
            let mut pause = HEARTBEAT;
            if let Some(reply) = reply.ok().filter(counts) {
                if self.apply(&Json::parse(&reply.text()).unwrap_or(Json::Null), sent) {
                    pause = NEXT_WHILE_RELEASING;
                }
            }
            thread::sleep(pause.saturating_sub(if pause == HEARTBEAT { sent.elapsed() } else { Duration::ZERO }));
        }
    }

    fn heartbeat(&self, now: Instant) -> Json {
        let mut state = self.lock();
        state.sequence += 1;
        let fence_of = |key: usize| {
            let hold = state.holds[key];
            if hold.is_held(now) {
                return hold.fence;
            }
            let key = key as u16;
            let working = state.working.get(&key).map(|(_, fence)| *fence);
            working.or_else(|| state.giving_up.get(&key).copied()).unwrap_or(0)
        };
        let mut rows: Vec<(usize, usize, u64)> = Vec::new();
        for key in 0..KEYS {
            let fence = fence_of(key);
            match rows.last_mut() {
                _ if fence == 0 => {}
                Some(row) if row.1 + 1 == key && row.2 == fence => row.1 = key,
                _ => rows.push((key, key, fence)),
            }
        }
        let mut released: Vec<(u16, u16)> = Vec::new();
        for key in &state.released {
            match released.last_mut() {
                Some(row) if row.1.checked_add(1) == Some(*key) => row.1 = *key,
                _ => released.push((*key, *key)),
            }
        }
        let handover = format!("{:016x}", self.born ^ state.sequence << 20);
        let number = |value: u64| Json::number(value);
        let holds = rows.iter().map(|(first, last, fence)| {
            Json::List(vec![number(*first as u64), number(*last as u64), number(*fence)])
        });
        let released = released.iter().map(|(first, last)| {
            Json::List(vec![number((*first).into()), number((*last).into()), Json::text(&handover)])
        });
        let options = &self.options;
        let info = Json::Object(vec![
            ("service".to_owned(), Json::text(&options.service)),
            ("version".to_owned(), Json::text("v1")),
            ("zone".to_owned(), Json::text(&options.zone)),
            ("slots".to_owned(), number(SLOTS.into())),
        ]);
        let word = if state.draining { "draining" } else { "ready" };
        let status = Json::Object(vec![
            ("state".to_owned(), Json::text(word)),
            ("sequence".to_owned(), number(state.sequence)),
            ("cold_left".to_owned(), Json::text("0ms")),
        ]);
        Json::Object(vec![
            ("address".to_owned(), Json::text(&options.address.to_string())),
            ("info".to_owned(), info),
            ("status".to_owned(), status),
            ("born".to_owned(), number(self.born)),
            ("holds".to_owned(), Json::List(holds.collect())),
            ("released".to_owned(), Json::List(released.collect())),
        ])
    }

    /// Applies a reply to the heartbeat that was sent at `sent`; returns whether there are keys to give up.
    fn apply(&self, reply: &Json, sent: Instant) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        state.released.clear();
        let (Some(rows), Some(time)) = (
            reply.get("holds").map(Json::as_list),
            reply.get("hold_time").and_then(Json::as_str).and_then(duration),
        ) else {
            return !state.giving_up.is_empty();
        };
        let until = sent + time;
        let mut wanted = vec![false; KEYS];
        for row in rows {
            let row = row.as_list();
            let number = |index: usize| row.get(index).and_then(Json::as_u64).unwrap_or(0);
            let (first, last, fence) = (number(0) as u16, number(1) as u16, number(2));
            if first > last || (first..=last).any(|key| state.seen[usize::from(key)] > fence) {
                self.record.line(&format!("{} does not accept {first}-{last} with fence {fence}", self.options.name));
                continue;
            }
            let mut from = first;
            // Neighbouring keys that are all taken, or all renewed.
            while from <= last {
                let taken = |key: u16| {
                    let hold = state.holds[usize::from(key)];
                    !hold.is_held(now) || hold.fence != fence
                };
                let is_taken = taken(from);
                let mut to = from;
                while to < last && taken(to + 1) == is_taken {
                    to += 1;
                }
                if is_taken {
                    self.record.line(&format!(
                        "{} takes {from}-{to} with fence {fence} for {time:?}", self.options.name
                    ));
                }
                self.ledger.hold(self.life, from, to, fence, until, is_taken);
                for key in from..=to {
                    let index = usize::from(key);
                    wanted[index] = true;
                    state.seen[index] = fence;
                    state.holds[index] = Hold { fence, until: Some(until) };
                    state.giving_up.remove(&key);
                }
                if to == u16::MAX {
                    break;
                }
                from = to + 1;
            }
        }
        for key in 0..KEYS {
            let hold = state.holds[key];
            if wanted[key] || hold.fence == 0 {
                continue;
            }
            state.holds[key] = Hold::default();
            self.ledger.release(self.life, key as u16);
            if !hold.is_held(now) {
                continue;
            }
            if state.working.contains_key(&(key as u16)) {
                state.giving_up.insert(key as u16, hold.fence);
            } else {
                state.released.push(key as u16);
            }
        }
        !state.giving_up.is_empty() || !state.released.is_empty()
    }

    fn answer(&self, request: &Message) -> Answer {
        if request.target() == "/healthz" {
            return Answer::new(200, "").with("x-instance-id", &self.options.id);
        }
        let Some(id) = request.header("x-attempt-id").map(str::to_owned) else {
            return Answer::new(400, "").with("x-not-executed", 1);
        };
        let refuse = |status: u16| {
            Answer::new(status, "").with("x-not-executed", 1).with("x-attempt-id", &id)
                .with("x-instance-id", &self.options.id)
        };
        let key: Option<u16> = request.header("x-shard-key").and_then(|key| key.parse().ok());
        let key = key.filter(|_| self.options.sharded);
        let now = Instant::now();
        let mut state = self.lock();
        let hold = key.map(|key| state.holds[usize::from(key)]);
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.options.id)
            || self.options.sharded && !hold.is_some_and(|hold| hold.is_held(now))
        {
            self.record.line(&format!("{} answers 421 to {id}", self.options.name));
            return refuse(421);
        }
        state.arrivals.push((now, id.clone()));
        if state.running >= SLOTS {
            return refuse(503);
        }
        state.running += 1;
        if let (Some(key), Some(hold)) = (key, hold) {
            let work = state.working.entry(key).or_insert((0, hold.fence));
            work.0 += 1;
        }
        let work = state.work;
        drop(state);
        self.ledger.begin(self.life, &id, key);
        self.record.line(&format!("{} runs {} {id} key {key:?}", self.options.name, request.method()));
        thread::sleep(work);
        let mut state = self.lock();
        state.running -= 1;
        let mut lapsed = false;
        if let Some(key) = key {
            if let Some(work) = state.working.get_mut(&key) {
                work.0 -= 1;
                if work.0 == 0 {
                    state.working.remove(&key);
                }
            }
            let given_up = state.giving_up.contains_key(&key);
            lapsed = !state.holds[usize::from(key)].is_held(Instant::now()) && !given_up;
            if given_up && !state.working.contains_key(&key) {
                state.giving_up.remove(&key);
                state.released.push(key);
            }
        }
        drop(state);
        let status = if lapsed { 500 } else { 200 };
        Answer::new(status, format!("answer to {id} by {}", self.options.name))
            .with("x-attempt-id", &id)
            .with("x-response-stamp", format!("{}.{id}", self.options.id))
    }
}

impl Hold {
    fn is_held(&self, now: Instant) -> bool {
        self.fence > 0 && self.until.is_some_and(|until| now < until)
    }
}

fn duration(text: &str) -> Option<Duration> {
    match text.strip_suffix("ms") {
        Some(millis) => Some(Duration::from_secs_f64(millis.parse::<f64>().ok()? / 1e3)),
        None => Some(Duration::from_secs_f64(text.strip_suffix('s')?.parse().ok()?)),
    }
}
