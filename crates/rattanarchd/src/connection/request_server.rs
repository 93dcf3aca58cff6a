//! HTTP server for callers and for peers that forward requests.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::connection::caller_progress::CallerProgress;
use crate::connection::caller_stream::CallerStream;
use crate::connection::error_response;
use crate::request::RequestHandler;

/// Largest head of a request, in bytes; also the limit of the read buffer.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most header fields of a request.
const MAX_FIELDS: usize = 100;
/// Maximum number of connections in the accept queue. The standard library's 128 are too few for a burst of 130: each
/// further connection waits a second for the retransmission of its SYN.
const BACKLOG: i32 = 1_024;
/// Time for which idle connections stay open after a stop begins, so that requests in transit get a response. A
/// connection that has carried no request then stays open for this time once more.
const DRAIN_TIME: Duration = Duration::from_millis(500);
/// Delay after a connection could not be accepted, mostly because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Phase of the server's shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Connections are accepted and kept open.
    Open,
    /// Each connection closes after its next response.
    Draining,
    /// Idle connections close: at once if they have carried a request, otherwise after [`DRAIN_TIME`].
    Closing,
}

/// Serves the connections of callers and of forwarding peers until stopped.
#[derive(Debug)]
pub struct RequestServer {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    acceptor: JoinHandle<()>,
    permits: Arc<Semaphore>,
    max_connections: u32,
}

impl RequestServer {
    /// Starts to serve the connections of `listener` in `runtime`, by passing their requests to `handler`.
    ///
    /// # Errors
    /// If the listener cannot be configured.
    pub fn start(
        runtime: &Handle,
        listener: std::net::TcpListener,
        handler: Arc<RequestHandler>,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        // A second `listen` only raises the backlog.
        rustix::net::listen(&listener, BACKLOG)?;
        let address = listener.local_addr()?;
        let listener = {
            // `from_std` needs the context of a runtime.
            let _entered = runtime.enter();
            TcpListener::from_std(listener)?
        };
        let phase = watch::Sender::new(Phase::Open);
        let max_connections = u32::from(handler.settings().caller_connections);
        let permits = Arc::new(Semaphore::new(max_connections as usize));
        let acceptor =
            Acceptor { handler, phase: phase.subscribe(), permits: Arc::clone(&permits) };
        let acceptor = runtime.spawn(acceptor.run(listener));
        Ok(Self { address, phase, acceptor, permits, max_connections })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops without interrupting requests: requests that still arrive get responses, each connection closes
    /// after its next response, and idle connections close at the end. Returns whether all connections were closed within `timeout`.
    pub async fn stop(self, timeout: Duration) -> bool {
        let closed = tokio::time::timeout(timeout, async {
            self.phase.send_replace(Phase::Draining);
            tokio::time::sleep(DRAIN_TIME).await;
            self.phase.send_replace(Phase::Closing);
            let all = self.permits.acquire_many(self.max_connections).await;
            all.is_ok()
        });
        let closed = closed.await.unwrap_or(false);
        self.acceptor.abort();
        closed
    }
}

struct Acceptor {
    handler: Arc<RequestHandler>,
    phase: watch::Receiver<Phase>,
    permits: Arc<Semaphore>,
}

impl Acceptor {
    async fn run(mut self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = self.phase.wait_for(|phase| *phase == Phase::Closing) => break,
            };
            match accepted {
                Ok((stream, _)) => self.spawn_connection(stream),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        // Connections already in the backlog are served too.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            self.spawn_connection(stream);
        }
    }

    fn spawn_connection(&self, stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
            send_connection_limit_error(stream);
            return;
        };
        let handler = Arc::clone(&self.handler);
        let phase = self.phase.clone();
        tokio::spawn(async move {
            serve_stream(stream, handler, phase).await;
            drop(permit);
        });
    }
}

/// Sends the error response for a connection above the limit, without waiting.
fn send_connection_limit_error(mut stream: TcpStream) {
    // The response fits into the empty send buffer of a new socket.
    let _ = stream.write_all(error_response::for_connection_limit().as_bytes()).now_or_never();
}

async fn serve_stream(
    stream: TcpStream,
    handler: Arc<RequestHandler>,
    mut phase: watch::Receiver<Phase>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let settings = handler.settings();
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(settings.head_timeout)
        .max_header_size(MAX_HEAD_BYTES)
        .max_headers(MAX_FIELDS)
        .max_buf_size(MAX_HEAD_BYTES);
    let progress = Arc::new(CallerProgress::default());
    let io = CallerStream::new(stream, Arc::clone(&progress), settings.body_timeout);
    let current_phase = phase.clone();
    let service = service_fn(|request| {
        progress.record_request();
        let handler = Arc::clone(&handler);
        let current_phase = current_phase.clone();
        async move {
            let mut response = handler.serve(request).await;
            if *current_phase.borrow() != Phase::Open {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = std::pin::pin!(http.serve_connection(TokioIo::new(io), service));
    tokio::select! {
        // A failed connection can carry no error response.
        _ = &mut connection => return,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {}
    }
    if !progress.has_requests() {
        // The first request may be in transit.
        let _ = tokio::time::timeout(DRAIN_TIME, &mut connection).await;
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
