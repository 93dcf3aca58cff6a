//! Connections of callers and of forwarding peers.

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

use crate::connection::caller_io::CallerIo;
use crate::connection::own_answer;
use crate::connection::progress::Progress;
use crate::request::RequestPath;

/// Largest head of a request, in bytes; also bounds what is read ahead of a body.
const MAX_HEAD: usize = 16 * 1024;
/// Most fields of a request.
const MAX_FIELDS: usize = 100;
/// Connections that may wait to be accepted; the standard library's 128 overflow in a burst of
/// 130, and the overflow waits a second for its repeated SYN.
const BACKLOG: i32 = 1_024;
/// How long connections stay open after the stop begins, so that requests already on their way
/// are answered.
const STOP_LINGER: Duration = Duration::from_millis(500);
/// Pause after the listener failed, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Phase of the server's end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Serves.
    Open,
    /// Each connection closes with its next answer.
    Leaving,
    /// Idle connections close at once.
    Closing,
}

/// Listens for callers and serves them until stopped.
#[derive(Debug)]
pub struct CallerServer {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    accepting: JoinHandle<()>,
    places: Arc<Semaphore>,
    connections: u32,
}

impl CallerServer {
    /// Starts to serve the connections of `listener` by `path` in `runtime`.
    ///
    /// # Errors
    /// The listener could not be used.
    pub fn start(
        runtime: &Handle,
        listener: std::net::TcpListener,
        path: Arc<RequestPath>,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        // Listening anew only raises the backlog.
        rustix::net::listen(&listener, BACKLOG)?;
        let address = listener.local_addr()?;
        let listener = {
            let _entered = runtime.enter();
            TcpListener::from_std(listener)?
        };
        let phase = watch::Sender::new(Phase::Open);
        let connections = u32::from(path.settings().caller_connections);
        let places = Arc::new(Semaphore::new(connections as usize));
        let acceptor = Acceptor { path, phase: phase.subscribe(), places: Arc::clone(&places) };
        let accepting = runtime.spawn(acceptor.run(listener));
        Ok(Self { address, phase, accepting, places, connections })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops without cutting a request: answers what is on its way, closing each connection with
    /// its answer, then closes the idle ones. Returns whether all had ended within `limit`.
    pub async fn stop(self, limit: Duration) -> bool {
        let ended = tokio::time::timeout(limit, async {
            self.phase.send_replace(Phase::Leaving);
            tokio::time::sleep(STOP_LINGER).await;
            self.phase.send_replace(Phase::Closing);
            let all = self.places.acquire_many(self.connections).await;
            all.is_ok()
        });
        let ended = ended.await.unwrap_or(false);
        self.accepting.abort();
        ended
    }
}

struct Acceptor {
    path: Arc<RequestPath>,
    phase: watch::Receiver<Phase>,
    places: Arc<Semaphore>,
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
                Ok((stream, _)) => self.admit(stream),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        // Those that have connected already are served too.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            self.admit(stream);
        }
    }

    fn admit(&self, stream: TcpStream) {
        let Ok(place) = Arc::clone(&self.places).try_acquire_owned() else {
            turn_away(stream);
            return;
        };
        let path = Arc::clone(&self.path);
        let phase = self.phase.clone();
        tokio::spawn(async move {
            serve(stream, path, phase).await;
            drop(place);
        });
    }
}

/// Tells a connection above the bound so, if that needs no waiting.
fn turn_away(mut stream: TcpStream) {
    // A new socket's buffer takes the few bytes at once.
    let _ = stream.write_all(own_answer::to_crowd().as_bytes()).now_or_never();
}

async fn serve(stream: TcpStream, path: Arc<RequestPath>, mut phase: watch::Receiver<Phase>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let settings = path.settings();
    let mut codec = http1::Builder::new();
    codec
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_timeout)
        .max_header_size(MAX_HEAD)
        .max_headers(MAX_FIELDS)
        .max_buf_size(MAX_HEAD);
    let progress = Arc::new(Progress::default());
    let io = CallerIo::new(stream, Arc::clone(&progress), settings.body_timeout);
    let seen = phase.clone();
    let service = service_fn(|request| {
        progress.note_call();
        let path = Arc::clone(&path);
        let seen = seen.clone();
        async move {
            let mut answer = path.serve(request).await;
            if *seen.borrow() != Phase::Open {
                answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut connection = std::pin::pin!(codec.serve_connection(TokioIo::new(io), service));
    tokio::select! {
        // A failed connection has no one left to tell.
        _ = &mut connection => return,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {}
    }
    if !progress.has_calls() {
        // The first request may be on its way.
        let _ = tokio::time::timeout(STOP_LINGER, &mut connection).await;
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
