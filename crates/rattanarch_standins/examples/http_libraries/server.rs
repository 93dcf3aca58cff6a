//! Servers with the same four paths, one for each library.
//!
//! `/small` returns two bytes; `/work` takes [`WORK_TIME`] and counts whether it was finished or
//! cancelled; `/counts` returns both counts; `/large` streams [`LARGE_BYTES`].

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

/// Length of a large response, in bytes; the size of a map.
pub const LARGE_BYTES: u64 = 64 << 20;

/// Execution time of a request to `/work`.
pub const WORK_TIME: Duration = Duration::from_millis(600);

/// Maximum time that hyper waits for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of connections that wait to be accepted. The default is 128, which rouille cannot
/// change.
const BACKLOG: u32 = 1_024;

/// Maximum size of hyper's buffer per connection, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// Length of the chunks of a large response, in bytes.
const CHUNK_BYTES: u64 = 64 << 10;

static FINISHED: AtomicU32 = AtomicU32::new(0);
static CANCELLED: AtomicU32 = AtomicU32::new(0);

fn counts() -> String {
    let (finished, cancelled) = (&FINISHED, &CANCELLED);
    format!("{} {}", finished.load(Ordering::Relaxed), cancelled.load(Ordering::Relaxed))
}

/// Serves with rouille and its default of one thread per request.
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
            let mut response = rouille::Response::text("");
            response.data =
                rouille::ResponseBody::from_reader_and_size(reader, LARGE_BYTES as usize);
            response
        }
        _ => rouille::Response::empty_404(),
    });
    let server = server.map_err(|error| error.to_string())?;
    writeln!(io::stdout(), "{}", server.server_addr())?;
    server.run();
    Ok(())
}

/// Serves with hyper on two threads.
pub fn serve_hyper() -> Result<(), Box<dyn Error>> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(2).enable_all().build()?;
    runtime.block_on(run_server())
}

async fn run_server() -> Result<(), Box<dyn Error>> {
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
            drop(builder.serve_connection(TokioIo::new(stream), service_fn(respond)).await);
        });
    }
}

type ResponseBody = UnsyncBoxBody<Bytes, Infallible>;

async fn respond(request: Request<Incoming>) -> Result<Response<ResponseBody>, Infallible> {
    let body = match request.uri().path() {
        "/small" => text_body("ok".to_owned()),
        "/counts" => text_body(counts()),
        "/work" => work().await,
        _ => LargeBody { remaining: LARGE_BYTES }.boxed_unsync(),
    };
    Ok(Response::new(body))
}

async fn work() -> ResponseBody {
    let mut end = EndCounter { counter: &CANCELLED };
    tokio::time::sleep(WORK_TIME).await;
    end.counter = &FINISHED;
    text_body("done".to_owned())
}

fn text_body(text: String) -> ResponseBody {
    Full::new(Bytes::from(text)).boxed_unsync()
}

/// Increments its counter when it is dropped; this also counts cancelled work, whose future is dropped.
struct EndCounter {
    counter: &'static AtomicU32,
}

impl Drop for EndCounter {
    fn drop(&mut self) {
        self.counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Body of a large response, produced while it is sent.
struct LargeBody {
    remaining: u64,
}

impl Body for LargeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining == 0 {
            return Poll::Ready(None);
        }
        let count = self.remaining.min(CHUNK_BYTES);
        self.remaining -= count;
        Poll::Ready(Some(Ok(Frame::data(vec![7; count as usize].into()))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining)
    }
}
