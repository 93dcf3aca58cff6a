//! The operators' HTTP server.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::Builder;
use std::thread::JoinHandle;
use std::time::Duration;

use rattanarch_config::OperatorRequest;
use rouille::Response;
use serde_json::json;

use crate::operator::Access;
use crate::operator::OperatorApi;

/// Requests that are answered at one time; the others wait.
const THREADS: usize = 4;
/// Longest request body, in bytes.
const BODY_LIMIT: u64 = 64 << 10;
/// How long a stop may go unnoticed.
const STOP_POLL: Duration = Duration::from_millis(100);

/// Answers operators on threads of its own until it is stopped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// A server that could not start.
#[derive(Debug, thiserror::Error)]
#[error("operators' server cannot listen at {address}: {reason}")]
pub struct ServerError {
    /// Address of the settings.
    pub address: SocketAddr,
    /// What went wrong.
    pub reason: String,
}

impl Server {
    /// Starts to listen at `address`; port 0 takes a free one.
    ///
    /// # Errors
    /// When the address cannot be listened at.
    pub fn start(
        address: SocketAddr,
        access: Access,
        desk: Arc<OperatorApi>,
    ) -> Result<Self, ServerError> {
        let failed = |reason: String| ServerError { address, reason };
        let handler = move |request: &rouille::Request| handle(&access, &desk, request);
        let server = rouille::Server::new(address, handler);
        let server = server.map_err(|error| failed(error.to_string()))?.pool_size(THREADS);
        let address = server.server_addr();
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        let run = move || {
            while !stop.load(Ordering::Relaxed) {
                server.poll_timeout(STOP_POLL);
            }
            server.join();
        };
        let thread = Builder::new().name("operators".to_owned()).spawn(run);
        let thread = thread.map_err(|error| failed(error.to_string()))?;
        Ok(Self { address, stopping, thread: Some(thread) })
    }

    /// Where it listens.
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

fn handle(access: &Access, desk: &OperatorApi, request: &rouille::Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/health") => health(desk),
        ("GET", "/status") => Response::json(&desk.status()),
        ("POST", "/operate") => operate(access, desk, request),
        _ => fault(404, "no such page: GET /health, GET /status or POST /operate"),
    }
}

fn health(desk: &OperatorApi) -> Response {
    if desk.status().stopping {
        return fault(503, "the daemon is stopping");
    }
    Response::json(&json!({ "healthy": true }))
}

fn operate(access: &Access, desk: &OperatorApi, request: &rouille::Request) -> Response {
    let header = request.header("authorization").unwrap_or_default();
    let token = header.strip_prefix("Bearer ").unwrap_or_default();
    let Some(operator) = access.prove(token) else {
        return fault(401, "the token is not one of an operator of this daemon");
    };
    match read_body(request) {
        Ok(body) => Response::json(&desk.execute(operator, &body)),
        Err(reason) => fault(400, &reason),
    }
}

fn read_body(request: &rouille::Request) -> Result<OperatorRequest, String> {
    let body = request.data().ok_or("the body was already read")?;
    let mut bytes = Vec::new();
    body.take(BODY_LIMIT + 1).read_to_end(&mut bytes).map_err(|error| error.to_string())?;
    if bytes.len() as u64 > BODY_LIMIT {
        return Err(format!("the body is longer than {BODY_LIMIT} bytes"));
    }
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

fn fault(status: u16, reason: &str) -> Response {
    Response::json(&json!({ "error": reason })).with_status_code(status)
}
