//! HTTP server that runs until the process gets a signal.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::http::CountedStream;
use crate::http::HandlerResult;
use crate::http::Hangup;
use crate::http::Traffic;

/// Number of runtime threads; low because many emulators share one machine.
const WORKER_THREADS: usize = 2;

/// Maximum number of connections that wait to be accepted; with the default of 128, part of a larger
/// burst waits one second for its connection.
const BACKLOG: u32 = 1_024;

/// Delay after a failed accept; prevents a busy loop when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Handles requests. The future of a request is dropped when the caller disconnects.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = HandlerResult> + Send;

    /// Byte counts of all connections.
    fn traffic(&self) -> Arc<Traffic>;
}

/// Serves `handler` at `listen` until SIGTERM or SIGINT. Prints `{"listening":"address:port"}` to
/// standard output when it accepts connections.
///
/// # Errors
/// The address cannot be bound, or the runtime cannot be started.
pub fn run_server<H: Handler>(listen: SocketAddr, handler: H) -> io::Result<()> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(WORKER_THREADS).enable_all().build()?;
    runtime.block_on(run_until_signal(listen, handler))
}

async fn run_until_signal<H: Handler>(listen: SocketAddr, handler: H) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listener = bind(listen)?;
    let line = json!({"listening": listener.local_addr()?.to_string()});
    writeln!(io::stdout(), "{line}")?;
    io::stdout().flush()?;
    tokio::select! {
        () = serve(listener, Arc::new(handler)) => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Binds an address; port 0 selects a free port.
fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    let socket = if listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(BACKLOG)
}

/// Accepts and serves connections until the future is dropped.
async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // With Nagle's algorithm, a response in two segments would wait for a delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let stream = CountedStream::new(stream, handler.traffic());
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let service = service_fn(move |request| Arc::clone(&handler).handle(request));
            // The caller observes errors of its connection.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Reads a request body; returns `None` if it is longer than `limit` bytes.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Result<Option<Bytes>, Hangup> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(Some(collected.to_bytes())),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Ok(None),
        Err(_) => Err(Hangup),
    }
}
