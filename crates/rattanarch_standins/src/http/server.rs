//! Serves connections until the process is told to stop.

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

use crate::http::Answer;
use crate::http::Counted;
use crate::http::Hangup;
use crate::http::Traffic;

/// Threads of a stand-in's runtime: many stand-ins share one machine.
const WORKER_THREADS: usize = 2;

/// Connections that wait to be accepted; the default of 128 makes larger bursts wait for a second.
const BACKLOG: u32 = 1_024;

/// Pause after a failed accept, so that running out of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Answers requests. A request's future is dropped when its caller goes away.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Answer> + Send;

    /// Where the bytes of the connections are counted.
    fn traffic(&self) -> Arc<Traffic>;
}

/// Serves `handler` at `listen` until SIGTERM or SIGINT. Once it listens, prints
/// `{"listening":"address:port"}` on standard output.
///
/// # Errors
/// The address cannot be listened on, or the runtime cannot be started.
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

/// Listens at an address; port 0 takes a free one.
fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    let socket = if listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(BACKLOG)
}

/// Serves connections for as long as the future is polled.
async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without it, an answer in two segments waits for a delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let stream = Counted::new(stream, handler.traffic());
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let service = service_fn(move |request| Arc::clone(&handler).handle(request));
            // A connection's error is the caller's to notice.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Reads a request's body of at most `limit` bytes; `None` when it is longer.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Result<Option<Bytes>, Hangup> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(Some(collected.to_bytes())),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Ok(None),
        Err(_) => Err(Hangup),
    }
}
