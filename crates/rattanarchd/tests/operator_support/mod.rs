//! A small platform with faults, and daemons' operator sides that use it.

#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::BTreeMap;
use std::io::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request as HttpRequest;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rattanarch_config::Operator;
use rattanarch_config::OperatorRequest;
use rattanarch_config::OperatorResponse;
use rattanarch_platform::Platform;
use rattanarch_types::AuditEntry;
use rattanarchd::operator::Fleet;
use rattanarchd::operator::LocalFleet;
use rattanarchd::operator::OperatorApi;
use rattanarchd::process::ProcessSettings;
use rattanarchd::version::Views;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// An answer; an error closes the connection without one.
type Answered = Result<Response<Full<Bytes>>, Error>;

/// Objects and faults of the fake platform.
#[derive(Default)]
pub struct Store {
    /// All versions of each object, oldest first.
    pub objects: BTreeMap<String, Vec<Value>>,
    /// Whether it is out of service.
    pub down: bool,
    /// Whether audit pages are out of service.
    pub pages_down: bool,
    /// The next this many writes take effect and are not answered.
    pub lose_answers: usize,
    /// The next this many writes are not answered, and take effect after the next call.
    pub late_writes: usize,
    /// Every this many writes, one takes effect and is not answered; 0 for none.
    pub lose_each: usize,
    /// The next this many reads answer with the version before the current.
    pub stale_reads: usize,
    /// Writes that are on their way.
    pub on_way: Vec<(String, usize, Value)>,
    /// Calls since the start.
    pub calls: usize,
    /// Writes that were taken since the start.
    pub writes: usize,
}

impl Store {
    fn put(&mut self, path: &str, expect: usize, value: Value) -> Result<usize, Value> {
        let versions = self.objects.entry(path.to_owned()).or_default();
        if versions.len() != expect {
            return Err(json!({"version": versions.len(), "value": versions.last()}));
        }
        versions.push(value);
        Ok(versions.len())
    }

    fn land(&mut self) {
        for (path, expect, value) in std::mem::take(&mut self.on_way) {
            let _ = self.put(&path, expect, value);
        }
    }

    fn read(&mut self, path: &str) -> Answered {
        let versions = self.objects.get(path).map_or(&[][..], |versions| &versions[..]);
        let mut version = versions.len();
        if self.stale_reads > 0 && version > 0 {
            self.stale_reads -= 1;
            version -= 1;
        }
        let Some(at) = version.checked_sub(1) else {
            return answer(404, &json!({"version": 0}));
        };
        answer(200, &json!({"version": version, "value": versions[at]}))
    }

    fn write(&mut self, path: &str, expect: usize, value: Value) -> Answered {
        self.writes += 1;
        let lost = Err(Error::other("no answer"));
        if self.late_writes > 0 {
            self.late_writes -= 1;
            self.on_way.push((path.to_owned(), expect, value));
            return lost;
        }
        let outcome = self.put(path, expect, value);
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return lost;
        }
        if self.lose_each > 0 && self.writes.is_multiple_of(self.lose_each) {
            return lost;
        }
        match outcome {
            Ok(version) => answer(200, &json!({"version": version})),
            Err(current) => answer(409, &current),
        }
    }
}

/// A fake platform; it listens until the test process ends.
#[derive(Clone)]
pub struct Fake {
    store: Arc<Mutex<Store>>,
    address: SocketAddr,
}

impl Fake {
    pub fn start() -> Self {
        let store = Arc::new(Mutex::new(Store::default()));
        let shared = Arc::clone(&store);
        let runtime = Runtime::new().expect("a runtime");
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = listener.local_addr().expect("an address");
        std::thread::spawn(move || runtime.block_on(listen(listener, shared)));
        Self { store, address }
    }

    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no test thread panicked")
    }

    pub fn platform(&self) -> Platform {
        let platform = Platform::new(format!("http://{}", self.address), "secret");
        platform.with_timeout(Duration::from_secs(2))
    }

    /// Newest value of an object.
    pub fn value(&self, path: &str) -> Value {
        let newest = self.store().objects.get(path).and_then(|versions| versions.last().cloned());
        newest.unwrap_or_default()
    }

    /// All versions of a firm's configuration that were ever accepted.
    pub fn versions(&self, firm: &str) -> usize {
        self.store().objects.get(&format!("configuration/{firm}")).map_or(0, Vec::len)
    }

    /// All entries of a firm's audit trail, from pages and configuration, by serial.
    pub fn entries(&self, firm: &str) -> Vec<AuditEntry> {
        let mut entries = BTreeMap::new();
        let paths: Vec<String> = self.store().objects.keys().cloned().collect();
        let pages = paths.iter().filter(|path| path.starts_with(&format!("audit/{firm}/")));
        let pages = pages.map(|path| self.value(path)["entries"].clone());
        let trail = self.value(&format!("configuration/{firm}"))["trail"]["entries"].clone();
        for list in pages.chain([trail]) {
            let list: Vec<AuditEntry> = serde_json::from_value(list).expect("entries");
            entries.extend(list.into_iter().map(|entry| (entry.serial, entry)));
        }
        entries.into_values().collect()
    }
}

async fn listen(listener: TcpListener, store: Arc<Mutex<Store>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let store = Arc::clone(&store);
        let service = service_fn(move |request| serve(Arc::clone(&store), request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

async fn serve(store: Arc<Mutex<Store>>, request: HttpRequest<Incoming>) -> Answered {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(Error::other)?.to_bytes();
    let mut store = store.lock().expect("no test thread panicked");
    store.calls += 1;
    let path = head.uri.path().strip_prefix("/objects/").unwrap_or_default();
    if store.down || store.pages_down && path.starts_with("audit/") {
        return answer(503, &json!({}));
    }
    if head.method == Method::GET {
        let answer = store.read(path);
        store.land();
        return answer;
    }
    let expect = head.uri.query().and_then(|query| query.strip_prefix("expect=")?.parse().ok());
    let value = serde_json::from_slice(&body).expect("JSON");
    store.land();
    store.write(path, expect.unwrap_or(0), value)
}

fn answer(status: u16, body: &Value) -> Answered {
    let body = Full::new(Bytes::from(body.to_string()));
    Response::builder().status(status).body(body).map_err(Error::other)
}

/// The operator side of a daemon of `service` of `firm`.
pub fn desk(fake: &Fake, firm: &str, service: &str, views: &Views) -> OperatorApi {
    let fleet: Arc<dyn Fleet> = Arc::new(LocalFleet::new(views.clone()));
    OperatorApi::new(process(firm, service), views.clone(), fake.platform(), fleet)
}

pub fn process(firm: &str, service: &str) -> ProcessSettings {
    ProcessSettings {
        instance: "t1".into(),
        firm: firm.into(),
        service: service.into(),
        data_centre: "hafenhalle".into(),
        stop_ms: 1_000,
    }
}

/// Says one statement.
pub fn say(desk: &OperatorApi, operator: &Operator, statement: &str) -> OperatorResponse {
    let request = OperatorRequest { statement: statement.to_owned(), ..OperatorRequest::default() };
    desk.execute(operator, &request)
}

pub fn anna() -> Operator {
    Operator::of_firm("anna", "coop")
}

pub fn juan() -> Operator {
    Operator::of_firm("juan", "aguas")
}

pub fn rita() -> Operator {
    Operator::of_rota("rita")
}

/// The version that a command made; fails on any other answer.
pub fn accepted(answer: &OperatorResponse) -> u64 {
    match answer {
        OperatorResponse::Accepted { version, .. } => *version,
        other => panic!("{other:?}"),
    }
}

/// Why a command was not accepted; fails on any other answer.
pub fn refused(answer: OperatorResponse) -> (String, Option<Box<AuditEntry>>) {
    match answer {
        OperatorResponse::NotAccepted { reason, winner, .. } => (reason, winner),
        other => panic!("{other:?}"),
    }
}
