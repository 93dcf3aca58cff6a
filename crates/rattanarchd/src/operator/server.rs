//! HTTP server for operators.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::Builder;
use std::thread::JoinHandle;
use std::time::Duration;

use rattanarch_config::Operator;
use rattanarch_config::OperatorRequest;
use rouille::Response;
use serde_json::json;

use crate::operator::Access;
use crate::operator::OperatorApi;

/// Threads of the server, each of which handles one request at a time; other requests wait.
const THREADS: usize = 4;
/// Largest request body, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 10;
/// Longest time until the server notices that it has to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Serves operators on threads of its own until it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// The server could not be started.
#[derive(Debug, thiserror::Error)]
#[error("operators' server cannot listen at {address}: {reason}")]
pub struct ServerError {
    /// Address from the settings.
    pub address: SocketAddr,
    /// Error of the listener or of the thread.
    pub reason: String,
}

impl Server {
    /// Starts to listen at `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// If the address cannot be listened on or no thread can be started.
    pub fn start(
        address: SocketAddr,
        access: Access,
        api: Arc<OperatorApi>,
    ) -> Result<Self, ServerError> {
        let start_error = |reason: String| ServerError { address, reason };
        let handler = move |request: &rouille::Request| handle(&access, &api, request);
        let server = rouille::Server::new(address, handler);
        let server = server.map_err(|error| start_error(error.to_string()))?.pool_size(THREADS);
        let address = server.server_addr();
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        let run = move || {
            while !stop.load(Ordering::Relaxed) {
                server.poll_timeout(STOP_POLL_INTERVAL);
            }
            server.join();
        };
        let thread = Builder::new().name("operators".to_owned()).spawn(run);
        let thread = thread.map_err(|error| start_error(error.to_string()))?;
        Ok(Self { address, stopping, thread: Some(thread) })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn handle(access: &Access, api: &OperatorApi, request: &rouille::Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/health") => health(api),
        ("GET", "/status") => Response::json(&api.status()),
        ("GET", "/explain") => explain(access, api, request),
        ("POST", "/operate") => operate(access, api, request),
        _ => error_response(
            404,
            "no such page: GET /health, GET /status, GET /explain or POST /operate",
        ),
    }
}

fn health(api: &OperatorApi) -> Response {
    if api.status().stopping {
        return error_response(503, "the daemon is stopping");
    }
    Response::json(&json!({ "healthy": true }))
}

/// Operator that sends the request, or the response to one without a valid token.
fn authenticate<'a>(
    access: &'a Access,
    request: &rouille::Request,
) -> Result<&'a Operator, Response> {
    let header = request.header("authorization").unwrap_or_default();
    let token = header.strip_prefix("Bearer ").unwrap_or_default();
    let reason = "the token belongs to no operator of this daemon";
    access.authenticate(token).ok_or_else(|| error_response(401, reason))
}

fn explain(access: &Access, api: &OperatorApi, request: &rouille::Request) -> Response {
    let operator = match authenticate(access, request) {
        Ok(operator) => operator,
        Err(response) => return response,
    };
    match api.explain(operator, request.raw_query_string()) {
        Ok(explanation) => Response::json(&explanation),
        Err((status, reason)) => error_response(status, &reason),
    }
}

fn operate(access: &Access, api: &OperatorApi, request: &rouille::Request) -> Response {
    let operator = match authenticate(access, request) {
        Ok(operator) => operator,
        Err(response) => return response,
    };
    match read_body(request) {
        Ok(body) => Response::json(&api.execute(operator, &body)),
        Err(reason) => error_response(400, &reason),
    }
}

fn read_body(request: &rouille::Request) -> Result<OperatorRequest, String> {
    let body = request.data().ok_or("the body was already read")?;
    let mut bytes = Vec::new();
    body.take(MAX_BODY_BYTES + 1).read_to_end(&mut bytes).map_err(|error| error.to_string())?;
    if bytes.len() as u64 > MAX_BODY_BYTES {
        return Err(format!("the body is longer than {MAX_BODY_BYTES} bytes"));
    }
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

fn error_response(status: u16, reason: &str) -> Response {
    Response::json(&json!({ "error": reason })).with_status_code(status)
}
