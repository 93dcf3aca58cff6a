//! The same four calls, served by each library.
//!
//! `/small` answers two bytes; `/work` takes [`WORK_TIME`] and counts that it was finished or
//! cancelled; `/counts` answers both counts; `/large` streams [`LARGE_BYTES`].

use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpSocket;

/// Length of a large answer, in bytes: a map.
pub const LARGE_BYTES: u64 = 64 << 20;

/// How long a request for work takes.
pub const WORK_TIME: Duration = Duration::from_millis(600);

/// Longest time that hyper waits for a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections that wait to be accepted; `bind` alone takes 128, and rouille takes no other.
const BACKLOG: u32 = 1_024;

/// Most bytes that hyper holds of a connection.
const BUFFER_BYTES: usize = 64 << 10;

/// Bytes of a large answer made at a time.
const PIECE_BYTES: u64 = 64 << 10;

static FINISHED: AtomicU32 = AtomicU32::new(0);
static CANCELLED: AtomicU32 = AtomicU32::new(0);

fn counts() -> String {
    let (finished, cancelled) = (&FINISHED, &CANCELLED);
    format!("{} {}", finished.load(Ordering::Relaxed), cancelled.load(Ordering::Relaxed))
}

/// Serves by rouille, with one thread a request, its default.
pub fn serve_rouille() -> Result<(), Box<dyn Error>> {
    let server = rouille::Server::new("127.0.0.1:0", |request| match request.url().as_str() {
        "/small" => rouille::Response::text("ok"),
        "/counts" => rouille::Response::text(counts()),
        "/work" => {
            thread::sleep(WORK_TIME);
            FINISHED.fetch_add(1, Ordering::Relaxed);
            rouille::Response::text("done")
        }
        "/large" => {
            let reader = io::repeat(7).take(LARGE_BYTES);
            let mut answer = rouille::Response::text("");
            answer.data = rouille::ResponseBody::from_reader_and_size(reader, LARGE_BYTES as usize);
            answer
        }
        _ => rouille::Response::empty_404(),
    });
    let server = server.map_err(|error| error.to_string())?;
    writeln!(io::stdout(), "{}", server.server_addr())?;
    server.run();
    Ok(())
}

/// Serves by hyper on two threads.
pub fn serve_hyper() -> Result<(), Box<dyn Error>> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(2).enable_all().build()?;
    runtime.block_on(accept())
}

async fn accept() -> Result<(), Box<dyn Error>> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let listener = socket.listen(BACKLOG)?;
    writeln!(io::stdout(), "{}", listener.local_addr()?)?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        tokio::spawn(async move {
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
            builder.max_buf_size(BUFFER_BYTES);
            drop(builder.serve_connection(TokioIo::new(stream), service_fn(answer)).await);
        });
    }
}

type AnswerBody = UnsyncBoxBody<Bytes, Infallible>;

async fn answer(request: Request<Incoming>) -> Result<Response<AnswerBody>, Infallible> {
    let body = match request.uri().path() {
        "/small" => whole("ok".to_owned()),
        "/counts" => whole(counts()),
        "/work" => work().await,
        _ => Large { rest: LARGE_BYTES }.boxed_unsync(),
    };
    Ok(Response::new(body))
}

async fn work() -> AnswerBody {
    let mut ending = Ending { counter: &CANCELLED };
    tokio::time::sleep(WORK_TIME).await;
    ending.counter = &FINISHED;
    whole("done".to_owned())
}

fn whole(text: String) -> AnswerBody {
    Full::new(Bytes::from(text)).boxed_unsync()
}

/// Counts how work ended, when it is dropped.
struct Ending {
    counter: &'static AtomicU32,
}

impl Drop for Ending {
    fn drop(&mut self) {
        self.counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// A large answer, made while it is sent.
struct Large {
    rest: u64,
}

impl Body for Large {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest == 0 {
            return Poll::Ready(None);
        }
        let count = self.rest.min(PIECE_BYTES);
        self.rest -= count;
        Poll::Ready(Some(Ok(Frame::data(vec![7; count as usize].into()))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest)
    }
}
