//! Listeners of the process, and the handlers of readiness checks and metrics.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use rattanarch_adapter::headers::set_retry_after;
use rattanarch_routing::Limits;
use rattanarch_types::Moment;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

use crate::connection::Connections;
use crate::connection::Handler;
use crate::connection::Listener;
use crate::connection::ResponseBody;
use crate::connection::ServerOptions;
use crate::connection::serve;
use crate::process::Shared;
use crate::request::Inbound;
use crate::request::Outbound;
use crate::request::explain;
use crate::request::responses;
use crate::upstream::HeartbeatHandler;

/// Connections that may wait to be accepted: a burst of one second's requests.
const BACKLOG: u32 = 1_024;

/// Idle timeout of connections of daemons, of the upstream and of the platform.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time from the first byte of a head to its end on those connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of the head of a request on those connections.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// What a daemon adds to the head of a request that it forwards, at most.
const FORWARD_HEAD_BYTES: usize = 8 << 10;

/// How much longer an idle connection of a caller stays open than the configured timeout, so that no request is sent
/// on a connection that is being closed.
const IDLE_RESERVE: Duration = Duration::from_secs(2);

/// Most fields of a forwarded request: the 100 that a caller may send, and those that daemons add.
const MAX_FORWARDED_FIELDS: usize = 128;

/// Starts to listen on all addresses of the settings.
///
/// # Errors
/// If an address can't be bound.
pub(crate) fn listen(shared: &Rc<Shared>) -> io::Result<()> {
    let listen = shared.settings.listen;
    let fixed = || ServerOptions {
        idle_timeout: IDLE_TIMEOUT,
        max_head_bytes: MAX_HEAD_BYTES,
        max_fields: None,
        head_timeout: HEAD_TIMEOUT,
    };
    let callers = {
        let shared = Rc::clone(shared);
        move || {
            let limits = limits(&shared);
            ServerOptions {
                idle_timeout: limits.idle_timeout + IDLE_RESERVE,
                max_head_bytes: limits.max_head_bytes,
                max_fields: None,
                head_timeout: limits.head_timeout,
            }
        }
    };
    let peers = {
        let shared = Rc::clone(shared);
        move || ServerOptions {
            max_head_bytes: limits(&shared).max_head_bytes.saturating_add(FORWARD_HEAD_BYTES),
            max_fields: Some(MAX_FORWARDED_FIELDS),
            ..fixed()
        }
    };
    let plan = *shared.held.plan();
    start(
        shared,
        (listen.callers, Listener::Callers, plan.callers),
        callers,
        Outbound::new(Rc::clone(shared)),
    )?;
    start(shared, (listen.peers, Listener::Peers, plan.peers), peers, Inbound(Rc::clone(shared)))?;
    start(
        shared,
        (listen.upstream, Listener::Upstream, plan.others),
        fixed,
        HeartbeatHandler(Rc::clone(shared)),
    )?;
    start(
        shared,
        (listen.ready, Listener::Ready, plan.others),
        fixed,
        ReadyHandler(Rc::clone(shared)),
    )?;
    start(
        shared,
        (listen.metrics, Listener::Metrics, plan.others),
        fixed,
        MetricsHandler { shared: Rc::clone(shared), next_explanation: Cell::new(Moment::ZERO) },
    )
}

/// The limits of the configuration in force, or those without one.
fn limits(shared: &Shared) -> Limits {
    shared.knowledge.borrow().routes().map(|routes| routes.limits).unwrap_or_default()
}

fn start<H: Handler>(
    shared: &Rc<Shared>,
    (address, kind, limit): (SocketAddr, Listener, usize),
    options: impl Fn() -> ServerOptions + 'static,
    handler: H,
) -> io::Result<()> {
    let listener = bind(address)?;
    let connections = Rc::new(Connections::new(kind, limit, shared.held.count_connections(kind)));
    let serving = serve(Rc::clone(shared), listener, options, Rc::new(handler), connections);
    tokio::task::spawn_local(serving);
    Ok(())
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Connections of an earlier process of this slot may still be in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Answers readiness checks: 200 if callers may send requests, 503 otherwise.
struct ReadyHandler(Rc<Shared>);

impl Handler for ReadyHandler {
    async fn handle(self: Rc<Self>, _: Request<Incoming>) -> Response<ResponseBody> {
        let shared = &self.0;
        let ready =
            shared.phase.borrow().is_open() && shared.knowledge.borrow().is_operator_state_known();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        responses::plain(status, String::new())
    }
}

/// Path at which requests are explained.
const EXPLAIN_PATH: &str = "/explain";

/// Shortest time between two explanations. They are made in the thread that serves callers.
const EXPLAIN_INTERVAL: Duration = Duration::from_millis(100);

/// Serves the metrics as text, and explanations of requests.
struct MetricsHandler {
    shared: Rc<Shared>,
    /// When the next request may be explained.
    next_explanation: Cell<Moment>,
}

impl MetricsHandler {
    /// Explains the request that `request` describes, at most one in [`EXPLAIN_INTERVAL`].
    fn explain(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let now = self.shared.now();
        let wait = self.next_explanation.get().saturating_sub(now);
        if wait > Duration::ZERO {
            let text = "another request was explained just now".to_owned();
            let mut response = responses::plain(StatusCode::TOO_MANY_REQUESTS, text);
            set_retry_after(response.headers_mut(), wait);
            return response;
        }
        self.next_explanation.set(now + EXPLAIN_INTERVAL);
        let query = request.uri().query().unwrap_or_default();
        explain(&self.shared, request.method(), query)
    }
}

impl Handler for MetricsHandler {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.uri().path() == EXPLAIN_PATH {
            return self.explain(&request);
        }
        Response::new(ResponseBody::full(self.shared.meters.text(&self.shared)))
    }
}
