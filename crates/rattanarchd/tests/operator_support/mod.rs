//! A fake platform with faults, and operator APIs of daemons that use it.

#![allow(dead_code, reason = "each test file uses only some items")]

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

/// A response, or an error that closes the connection without one.
type HttpResult = Result<Response<Full<Bytes>>, Error>;

/// Objects and faults of the fake platform.
#[derive(Default)]
pub struct Store {
    /// All versions of each object, oldest first.
    pub objects: BTreeMap<String, Vec<Value>>,
    /// Whether all calls fail with status 503.
    pub down: bool,
    /// Whether calls for audit pages fail with status 503.
    pub pages_down: bool,
    /// Number of next writes that take effect but get no response.
    pub lost_responses: usize,
    /// Number of next writes that get no response and take effect after the next call.
    pub delayed_writes: usize,
    /// One in this many writes takes effect but gets no response; 0 for none.
    pub loss_interval: usize,
    /// Number of next reads that return the version before the current one.
    pub stale_reads: usize,
    /// Delayed writes as path, expected version and value.
    pub pending_writes: Vec<(String, usize, Value)>,
    /// Calls since the start.
    pub calls: usize,
    /// Writes received since the start.
    pub writes: usize,
}

impl Store {
    fn put(&mut self, path: &str, expected: usize, value: Value) -> Result<usize, Value> {
        let versions = self.objects.entry(path.to_owned()).or_default();
        if versions.len() != expected {
            return Err(json!({"version": versions.len(), "value": versions.last()}));
        }
        versions.push(value);
        Ok(versions.len())
    }

    fn apply_pending(&mut self) {
        for (path, expected, value) in std::mem::take(&mut self.pending_writes) {
            let _ = self.put(&path, expected, value);
        }
    }

    fn read(&mut self, path: &str) -> HttpResult {
        let versions = self.objects.get(path).map_or(&[][..], |versions| &versions[..]);
        let mut version = versions.len();
        if self.stale_reads > 0 && version > 0 {
            self.stale_reads -= 1;
            version -= 1;
        }
        let Some(at) = version.checked_sub(1) else {
            return json_response(404, &json!({"version": 0}));
        };
        json_response(200, &json!({"version": version, "value": versions[at]}))
    }

    fn write(&mut self, path: &str, expected: usize, value: Value) -> HttpResult {
        self.writes += 1;
        let lost = Err(Error::other("no response"));
        if self.delayed_writes > 0 {
            self.delayed_writes -= 1;
            self.pending_writes.push((path.to_owned(), expected, value));
            return lost;
        }
        let outcome = self.put(path, expected, value);
        if self.lost_responses > 0 {
            self.lost_responses -= 1;
            return lost;
        }
        if self.loss_interval > 0 && self.writes.is_multiple_of(self.loss_interval) {
            return lost;
        }
        match outcome {
            Ok(version) => json_response(200, &json!({"version": version})),
            Err(current) => json_response(409, &current),
        }
    }
}

/// A fake platform that serves until the test process ends.
#[derive(Clone)]
pub struct FakePlatform {
    store: Arc<Mutex<Store>>,
    address: SocketAddr,
}

impl FakePlatform {
    pub fn start() -> Self {
        let store = Arc::new(Mutex::new(Store::default()));
        let shared = Arc::clone(&store);
        let runtime = Runtime::new().expect("a runtime");
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = listener.local_addr().expect("an address");
        std::thread::spawn(move || runtime.block_on(accept_connections(listener, shared)));
        Self { store, address }
    }

    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("the lock is not poisoned")
    }

    /// A client of this platform with a timeout of 2 s.
    pub fn client(&self) -> Platform {
        let client = Platform::new(format!("http://{}", self.address), "secret");
        client.with_timeout(Duration::from_secs(2))
    }

    /// Newest value of an object, or null.
    pub fn current_value(&self, path: &str) -> Value {
        let newest = self.store().objects.get(path).and_then(|versions| versions.last().cloned());
        newest.unwrap_or_default()
    }

    /// Number of versions of a firm's configuration that were accepted.
    pub fn version_count(&self, firm: &str) -> usize {
        self.store().objects.get(&format!("configuration/{firm}")).map_or(0, Vec::len)
    }

    /// All entries of a firm's audit trail, from pages and configuration, ordered by serial.
    pub fn audit_entries(&self, firm: &str) -> Vec<AuditEntry> {
        let mut entries = BTreeMap::new();
        let paths: Vec<String> = self.store().objects.keys().cloned().collect();
        let pages = paths.iter().filter(|path| path.starts_with(&format!("audit/{firm}/")));
        let pages = pages.map(|path| self.current_value(path)["entries"].clone());
        let trail =
            self.current_value(&format!("configuration/{firm}"))["trail"]["entries"].clone();
        for list in pages.chain([trail]) {
            let list: Vec<AuditEntry> = serde_json::from_value(list).expect("audit entries");
            entries.extend(list.into_iter().map(|entry| (entry.serial, entry)));
        }
        entries.into_values().collect()
    }
}

async fn accept_connections(listener: TcpListener, store: Arc<Mutex<Store>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let store = Arc::clone(&store);
        let service = service_fn(move |request| serve(Arc::clone(&store), request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

async fn serve(store: Arc<Mutex<Store>>, request: HttpRequest<Incoming>) -> HttpResult {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(Error::other)?.to_bytes();
    let mut store = store.lock().expect("the lock is not poisoned");
    store.calls += 1;
    let path = head.uri.path().strip_prefix("/objects/").unwrap_or_default();
    if store.down || store.pages_down && path.starts_with("audit/") {
        return json_response(503, &json!({}));
    }
    if head.method == Method::GET {
        let response = store.read(path);
        store.apply_pending();
        return response;
    }
    let expected = head.uri.query().and_then(|query| query.strip_prefix("expect=")?.parse().ok());
    let value = serde_json::from_slice(&body).expect("a JSON body");
    store.apply_pending();
    store.write(path, expected.unwrap_or(0), value)
}

fn json_response(status: u16, body: &Value) -> HttpResult {
    let body = Full::new(Bytes::from(body.to_string()));
    Response::builder().status(status).body(body).map_err(Error::other)
}

/// Operator API of a daemon that serves `service` of `firm`.
pub fn new_api(platform: &FakePlatform, firm: &str, service: &str, views: &Views) -> OperatorApi {
    let fleet: Arc<dyn Fleet> = Arc::new(LocalFleet::new(views.clone()));
    OperatorApi::new(process_settings(firm, service), views.clone(), platform.client(), fleet)
}

pub fn process_settings(firm: &str, service: &str) -> ProcessSettings {
    ProcessSettings {
        instance: "t1".into(),
        firm: firm.into(),
        service: service.into(),
        data_centre: "hafenhalle".into(),
        stop_ms: 1_000,
    }
}

/// Executes one statement.
pub fn execute(api: &OperatorApi, operator: &Operator, statement: &str) -> OperatorResponse {
    let request = OperatorRequest { statement: statement.to_owned(), ..OperatorRequest::default() };
    api.execute(operator, &request)
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

/// Version that an accepted command created; panics on any other response.
pub fn expect_accepted(response: &OperatorResponse) -> u64 {
    match response {
        OperatorResponse::Accepted { version, .. } => *version,
        other => panic!("{other:?}"),
    }
}

/// Reason of a refusal and the entry that won the race, if any; panics on any other response.
pub fn expect_refused(response: OperatorResponse) -> (String, Option<Box<AuditEntry>>) {
    match response {
        OperatorResponse::NotAccepted { reason, winner, .. } => (reason, winner),
        other => panic!("{other:?}"),
    }
}
