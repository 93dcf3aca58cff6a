//! HTTP server of all the daemon's listeners.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::connection::Connections;
use crate::connection::MAX_ONE_WAY_DELAY;
use crate::connection::ResponseBody;
use crate::connection::connections::ConnectionState;
use crate::connection::connections::OpenConnection;
use crate::connection::served_body::ServedBody;
use crate::connection::server_stream::ServerStream;
use crate::connection::unread_body::UnreadBody;
use crate::process::Phase;
use crate::process::Shared;

/// Delay after a connection could not be accepted, mostly because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long a connection that has carried no request stays open when the process closes: its first request may be in
/// transit.
const FIRST_REQUEST_WAIT: Duration = MAX_ONE_WAY_DELAY;

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER: usize = 8 << 10;

/// Turns the requests of one listener into responses.
pub(crate) trait Handler: 'static {
    /// Handles one request. The future is dropped if the caller closes the connection.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>>;
}

/// Limits of a listener's connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerOptions {
    /// Longest time from the start of a connection, or from the end of a response, until the next request head has
    /// arrived.
    pub(crate) idle_timeout: Duration,
    /// Largest request head, in bytes; raised to [`MIN_BUFFER`] if smaller.
    pub(crate) max_head_bytes: usize,
    /// Most fields of a request head; the codec's 100 if `None`.
    pub(crate) max_fields: Option<usize>,
    /// Longest time from the first byte of a request head to its end.
    pub(crate) head_timeout: Duration,
}

/// Accepts connections on `listener` until the process enters [`Phase::Closing`]. `options` is called for each
/// connection, since the limits may change. `connections` bounds their number.
pub(crate) async fn serve<H: Handler>(
    shared: Rc<Shared>,
    listener: TcpListener,
    options: impl Fn() -> ServerOptions + 'static,
    handler: Rc<H>,
    connections: Rc<Connections>,
) {
    let mut phase = shared.phase.subscribe();
    let accept = |stream| {
        // The client of a connection that isn't admitted sees it closed.
        if let Some(open) = connections.admit(&shared.held) {
            let (shared, handler) = (Rc::clone(&shared), Rc::clone(&handler));
            tokio::task::spawn_local(serve_stream(shared, (stream, open), options(), handler));
        }
    };
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                accept(stream);
                if connections.is_full() {
                    // The one that was closed frees its descriptor before the next is accepted.
                    tokio::task::yield_now().await;
                }
            }
            Err(error) => {
                log::warn!(reason:% = error; "connection not accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Connections that are already established are served too.
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        accept(stream);
    }
}

async fn serve_stream<H: Handler>(
    shared: Rc<Shared>,
    (stream, open): (TcpStream, OpenConnection),
    options: ServerOptions,
    handler: Rc<H>,
) {
    if stream.set_nodelay(true).is_err() {
        // The caller has closed the connection.
        return;
    }
    let _counted = shared.connections.begin();
    let mut phase = shared.phase.subscribe();
    let used = Cell::new(false);
    let service = service_fn(|request| {
        used.set(true);
        let (busy, state) = (open.state.begin(), Rc::clone(&open.state));
        let listener = open.listener;
        let response = Rc::clone(&handler).handle(request);
        let shared = Rc::clone(&shared);
        async move {
            let (parts, body) = response.await.into_parts();
            let (body, unread) = body.split_unread();
            let mut response = Response::from_parts(parts, body.charged_to(&shared.held));
            if let Some(unread) = unread
                && let Some(rest) = UnreadBody::new(unread).discard_received().await
            {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                state.awaits_head.set(false);
                tokio::task::spawn_local(discard_rest(rest, Rc::clone(&state)));
            }
            if let Some(guard) = response.body().guard() {
                guard.close_by(Rc::clone(&state.close), listener);
            }
            // Bytes that are sent at once delay the queued responses on the uplink.
            shared.uplink.record_immediate(response.body().unscheduled_len());
            if !shared.phase.borrow().is_open() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| ServedBody::new(body, busy)))
        }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(options.idle_timeout)
        .max_buf_size(options.max_head_bytes.max(MIN_BUFFER));
    if let Some(max_fields) = options.max_fields {
        http.max_headers(max_fields);
    }
    let (state, held) = (Rc::clone(&open.state), shared.held.clone());
    let stream = ServerStream::new(stream, state, held, options.head_timeout);
    let mut connection = std::pin::pin!(http.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // Nobody is left to whom an error could be reported.
        _ = &mut connection => return,
        () = open.state.close.notified() => return,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {}
    }
    if !used.get() {
        // The first request may be in transit.
        let _ = tokio::time::timeout(FIRST_REQUEST_WAIT, &mut connection).await;
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = open.state.close.notified() => {}
    }
}

/// Discards the rest of a request body after the response, and closes the connection if the body does not end. The
/// connection counts as idle since its response, so that it can be closed for a new one.
async fn discard_rest(rest: UnreadBody, state: Rc<ConnectionState>) {
    if !rest.discard_rest().await {
        state.close.notify_one();
    }
}
