//! The platform's metadata store.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Answer;
use crate::http::Message;
use crate::http::Reaction;
use crate::json::Json;
use crate::record::Record;

type Name = (String, String);

#[derive(Clone, Debug)]
struct Change {
    kind: String,
    revision: u64,
    object: Json,
    removed: bool,
}

/// Contents of the store at one moment.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    revision: u64,
    objects: BTreeMap<Name, Json>,
    history: Vec<Change>,
}

#[derive(Debug, Default)]
struct State {
    now: Copy,
    era: u64,
    /// Whether every call is refused with 503.
    away: bool,
}

/// The address at which one machine reaches the store, which may turn that machine away.
#[derive(Clone, Debug)]
pub struct Door {
    pub address: SocketAddr,
    turned_away: Arc<AtomicBool>,
    /// Number of its calls that wait for evacuations.
    watches: Arc<AtomicU32>,
}

/// A write of an object that was accepted.
#[derive(Clone, Debug)]
pub struct Write {
    /// Where the writer reaches the store.
    pub door: SocketAddr,
    pub kind: String,
    pub name: String,
    pub spec: Json,
}

/// Time that an answer takes: to a write after it has taken effect, to a watch from its first change on.
const ANSWER_TIME: Duration = Duration::from_millis(4);

impl Door {
    /// Whether the machine waits for changes of evacuations, as a daemon does that follows the store.
    pub fn follows(&self) -> bool {
        self.watches.load(Ordering::SeqCst) > 0
    }
}

#[derive(Clone)]
pub struct Store {
    ip: Ipv4Addr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    /// Told of each accepted write of a daemon before its answer is sent.
    observer: Arc<Mutex<Option<Sender<Write>>>>,
}

impl Store {
    /// Starts an empty store that listens on ports of `ip`.
    pub fn start(ip: Ipv4Addr, record: &Record) -> Self {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        shared.0.lock().expect("no thread has panicked").era = 1;
        Self { ip, shared, record: record.clone(), observer: Arc::default() }
    }

    /// Opens an address for one machine.
    pub fn open_door(&self) -> Door {
        let listener = TcpListener::bind((self.ip, 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let door = Door { address, turned_away: Arc::default(), watches: Arc::default() };
        let (server, inner) = (self.clone(), door.clone());
        http::serve(listener, Arc::new(AtomicBool::new(false)), move |request| {
            let (answer, era) = server.answer(&request, &inner);
            Reaction::Answer(answer.with("content-type", "application/json").with("store-era", era))
        });
        door
    }

    /// Returns the accepted writes of daemons from now on, each before its answer is sent.
    pub fn observe(&self) -> Receiver<Write> {
        let (sender, receiver) = channel();
        *self.observer.lock().expect("no thread has panicked") = Some(sender);
        receiver
    }

    /// Rejects the machine of `door` with 503, its waiting watches too, or serves it again.
    pub fn turn_away(&self, door: &Door, away: bool) {
        door.turned_away.store(away, Ordering::SeqCst);
        let _state = self.lock();
        self.shared.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread has panicked")
    }

    /// Writes an object as the operator does; returns the revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.lock();
        let spec = Json::parse(spec).expect("the spec is JSON");
        state.now.write(kind, name, spec);
        let revision = state.now.revision;
        self.record.say(&format!("operator writes {kind}/{name}, revision {revision}"));
        self.shared.1.notify_all();
        revision
    }

    /// Removes an object as the operator does.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        state.now.remove(kind, name);
        self.record.say(&format!("operator removes {kind}/{name}, revision {}", state.now.revision));
        self.shared.1.notify_all();
    }

    pub fn revision(&self) -> u64 {
        self.lock().now.revision
    }

    /// The spec of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.lock();
        state.now.objects.get(&(kind.to_owned(), name.to_owned()))?.get("spec").cloned()
    }

    /// Copies the contents, as a backup does.
    pub fn copy(&self) -> Copy {
        let state = self.lock();
        self.record.say(&format!("copy of the store is taken at revision {}", state.now.revision));
        state.now.clone()
    }

    /// Refuses all calls from now on, waiting watches too.
    pub fn leave(&self) {
        self.lock().away = true;
        self.record.say("store is away");
        self.shared.1.notify_all();
    }

    /// Comes back, from `copy` if there is one: then the era rises by one.
    pub fn come_back(&self, copy: Option<Copy>) {
        let mut state = self.lock();
        state.away = false;
        if let Some(copy) = copy {
            let before = state.now.revision;
            state.now = copy;
            state.era += 1;
            let (revision, era) = (state.now.revision, state.era);
            self.record.say(&format!(
                "store is back from its copy: revision {revision} instead of {before}, era {era}"
            ));
        } else {
            self.record.say("store is back");
        }
        self.shared.1.notify_all();
    }

    fn answer(&self, request: &Message, door: &Door) -> (Answer, u64) {
        let mut state = self.lock();
        let era = state.era;
        if state.away || door.turned_away.load(Ordering::SeqCst) {
            return (Answer::new(503, "{}"), era);
        }
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let found = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
            found.map(|(_, value)| value.to_owned())
        };
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().filter(|name| !name.is_empty()).map(str::to_owned);
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let expected = body.get("metadata").and_then(|m| m.get("revision")).and_then(Json::as_u64);
        let answer = match (request.method(), name) {
            ("GET", Some(name)) => match state.now.objects.get(&(kind, name)) {
                Some(object) => Answer::new(200, object.to_string()),
                None => Answer::new(404, "{}"),
            },
            ("GET", None) => match parameter("watch").and_then(|from| from.parse().ok()) {
                Some(from) => {
                    let wait = parameter("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    let counted = u32::from(kind == "evacuations");
                    door.watches.fetch_add(counted, Ordering::SeqCst);
                    let answer = self.watch(state, (&kind, from, Duration::from_millis(wait)), door);
                    door.watches.fetch_sub(counted, Ordering::SeqCst);
                    return answer;
                }
                None => {
                    let items = state.now.objects.iter().filter(|((k, _), _)| *k == kind);
                    let items: Vec<Json> = items.map(|(_, object)| object.clone()).collect();
                    let list = Json::Object(vec![
                        ("items".to_owned(), Json::List(items)),
                        ("more".to_owned(), Json::Bool(false)),
                        ("as_of".to_owned(), Json::number(state.now.revision)),
                    ]);
                    Answer::new(200, list.to_string())
                }
            },
            ("POST", None) => {
                let name = body.get("metadata").and_then(|m| m.get("name")).and_then(Json::as_str);
                let name = name.unwrap_or_default().to_owned();
                match state.now.objects.get(&(kind.clone(), name.clone())) {
                    Some(found) => Answer::new(409, found.to_string()),
                    None => Answer::new(201, state.now.write(&kind, &name, spec).to_string()),
                }
            }
            ("PUT", Some(name)) => {
                match state.now.objects.get(&(kind.clone(), name.clone())) {
                    None => Answer::new(404, "{}"),
                    Some(found) if expected.is_some() && expected != revision_of(found) => {
                        Answer::new(409, found.to_string())
                    }
                    Some(found) if found.get("spec") == Some(&spec) => Answer::new(200, found.to_string()),
                    Some(_) => Answer::new(200, state.now.write(&kind, &name, spec).to_string()),
                }
            }
            ("DELETE", Some(name)) => {
                state.now.remove(&kind, &name);
                Answer::new(200, "{}")
            }
            _ => Answer::new(400, "{}"),
        };
        if request.method() != "GET" {
            let version = body.get("spec").and_then(|spec| spec.get("version")).and_then(Json::as_u64);
            self.record.line(&format!(
                "store {} {path} version {version:?} on revision {expected:?}: {}, revision {}",
                request.method(), answer.status, state.now.revision
            ));
            if (200..300).contains(&answer.status) {
                drop(state);
                self.shared.1.notify_all();
                let observer = self.observer.lock().expect("no thread has panicked").clone();
                if let Some(observer) = observer {
                    let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
                    let kind = parts.next().unwrap_or_default().to_owned();
                    let name = parts.next().unwrap_or_default().to_owned();
                    let spec = body.get("spec").cloned().unwrap_or(Json::Null);
                    let _ = observer.send(Write { door: door.address, kind, name, spec });
                }
                std::thread::sleep(ANSWER_TIME);
                return (answer, era);
            }
        }
        self.shared.1.notify_all();
        (answer, era)
    }

    fn watch<'a>(
        &'a self,
        mut state: MutexGuard<'a, State>,
        (kind, from, wait): (&str, u64, Duration),
        door: &Door,
    ) -> (Answer, u64) {
        let end = Instant::now() + wait;
        let begun = state.era;
        let mut first_change: Option<Instant> = None;
        loop {
            let era = state.era;
            if state.away || era != begun || door.turned_away.load(Ordering::SeqCst) {
                return (Answer::new(503, "{}"), era);
            }
            let first = state.now.history.first().map_or(0, |change| change.revision);
            if from > state.now.revision || from + 1 < first {
                return (Answer::new(410, "{}"), era);
            }
            let fresh = state.now.history.iter().filter(|c| c.kind == kind && c.revision > from);
            let events: Vec<Json> = fresh
                .map(|change| {
                    Json::Object(vec![
                        ("object".to_owned(), change.object.clone()),
                        ("removed".to_owned(), Json::Bool(change.removed)),
                    ])
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() {
                let since = *first_change.get_or_insert_with(Instant::now);
                if since.elapsed() < ANSWER_TIME {
                    drop(state);
                    std::thread::sleep(ANSWER_TIME.saturating_sub(since.elapsed()));
                    state = self.lock();
                    continue;
                }
            }
            if !events.is_empty() || left.is_zero() {
                let body = Json::Object(vec![
                    ("events".to_owned(), Json::List(events)),
                    ("as_of".to_owned(), Json::number(state.now.revision)),
                ]);
                return (Answer::new(200, body.to_string()), era);
            }
            state = self.shared.1.wait_timeout(state, left).expect("no thread has panicked").0;
        }
    }
}

fn revision_of(object: &Json) -> Option<u64> {
    object.get("metadata")?.get("revision")?.as_u64()
}

impl Copy {
    fn write(&mut self, kind: &str, name: &str, spec: Json) -> Json {
        self.revision += 1;
        let metadata = Json::Object(vec![
            ("name".to_owned(), Json::text(name)),
            ("revision".to_owned(), Json::number(self.revision)),
            ("created_at".to_owned(), Json::number(self.revision)),
            ("finalizers".to_owned(), Json::List(Vec::new())),
            ("deletion_pending".to_owned(), Json::Bool(false)),
        ]);
        let object = Json::Object(vec![
            ("metadata".to_owned(), metadata),
            ("spec".to_owned(), spec),
            ("status".to_owned(), Json::Null),
        ]);
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        self.history.push(Change {
            kind: kind.to_owned(),
            revision: self.revision,
            object: object.clone(),
            removed: false,
        });
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            let (kind, revision) = (kind.to_owned(), self.revision);
            self.history.push(Change { kind, revision, object, removed: true });
        }
    }
}
