//! Connections that others open.

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

use crate::connection::MAX_ONE_WAY_DELAY;
use crate::connection::ResponseBody;
use crate::process::Phase;
use crate::process::Shared;

/// Pause after a connection could not be accepted, mostly for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers the requests of one listener.
pub(crate) trait Handler: 'static {
    /// Answers one request. Dropped if the caller goes away.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>>;
}

/// Limits of a listener's connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerOptions {
    /// Longest time between requests, and for a head to arrive.
    pub(crate) idle_time: Duration,
    /// Largest head, in bytes.
    pub(crate) head_bytes: usize,
}

/// Accepts connections on `listener` until the process closes.
pub(crate) async fn serve<H: Handler>(
    shared: Rc<Shared>,
    listener: TcpListener,
    options: impl Fn() -> ServerOptions + 'static,
    handler: Rc<H>,
) {
    let mut phase = shared.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => begin(&shared, stream, options(), &handler),
            Err(error) => {
                log::warn!(reason:% = error; "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Those that have connected already are answered too.
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        begin(&shared, stream, options(), &handler);
    }
}

fn begin<H: Handler>(
    shared: &Rc<Shared>,
    stream: TcpStream,
    options: ServerOptions,
    handler: &Rc<H>,
) {
    let (shared, handler) = (Rc::clone(shared), Rc::clone(handler));
    tokio::task::spawn_local(converse(shared, stream, options, handler));
}

async fn converse<H: Handler>(
    shared: Rc<Shared>,
    stream: TcpStream,
    options: ServerOptions,
    handler: Rc<H>,
) {
    if stream.set_nodelay(true).is_err() {
        // The caller has gone.
        return;
    }
    let _open = shared.connections.begin();
    let mut phase = shared.phase.subscribe();
    let called = Cell::new(false);
    let service = service_fn(|request| {
        called.set(true);
        let answer = Rc::clone(&handler).handle(request);
        let shared = Rc::clone(&shared);
        async move {
            let mut answer = answer.await;
            shared.uplink.pass_by(answer.body().untimed());
            if !shared.phase.borrow().is_open() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut codec = http1::Builder::new();
    codec
        .timer(TokioTimer::new())
        .header_read_timeout(options.idle_time)
        .max_buf_size(options.head_bytes.max(MIN_BUFFER));
    let mut connection = std::pin::pin!(codec.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // A failed connection has no one left to tell.
        _ = &mut connection => return,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {}
    }
    if !called.get() {
        // The first request may be on its way.
        let _ = tokio::time::timeout(FIRST_LINGER, &mut connection).await;
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// How long a connection without any request yet stays open when the process closes: its first one may be on its way.
const FIRST_LINGER: Duration = MAX_ONE_WAY_DELAY;

/// Smallest read buffer that the codec takes, in bytes.
const MIN_BUFFER: usize = 8 << 10;
