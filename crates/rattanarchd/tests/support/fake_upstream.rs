//! An upstream with scripted responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// A request that the upstream received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub method: String,
    pub path: String,
    /// Headers in order, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Number of the connection it arrived on, from 0.
    pub connection: usize,
    /// Number of requests that the upstream was running, including this one.
    pub concurrent: usize,
}

impl ReceivedRequest {
    /// Value of the header `name`, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// What the upstream does with a request.
pub enum Reply {
    /// Responds with status and body, and echoes the request id.
    Respond(u16, Vec<u8>),
    /// Responds as `Respond` does after a delay.
    RespondAfter(Duration, u16, Vec<u8>),
    /// Responds with this status and the verdict `not-run`.
    Refuse(u16),
    /// Writes this text with `{id}` replaced by the request id, then closes the connection.
    RawThenClose(String),
    /// Writes this text with `{id}` replaced by the request id, and keeps the connection open.
    RawKeepOpen(String),
    /// Responds with the id of another request.
    WrongId,
    /// Keeps the connection open without a response.
    Hang,
    /// Closes the connection without a response.
    Close,
}

type Script = Arc<dyn Fn(&ReceivedRequest, usize) -> Reply + Send + Sync>;

/// Upstream that responds as a script returns, and by itself to control calls.
pub struct FakeUpstream {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    control_calls: Arc<Mutex<Vec<ReceivedRequest>>>,
    concurrency: Arc<Concurrency>,
}

/// Current and highest number of running requests, control calls excluded.
#[derive(Debug, Default)]
pub struct Concurrency {
    pub current: AtomicUsize,
    pub peak: AtomicUsize,
}

impl FakeUpstream {
    /// Starts with a `script` that receives each request and its number, from 0.
    pub async fn start(
        script: impl Fn(&ReceivedRequest, usize) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let fake = Self {
            address,
            requests: Arc::default(),
            control_calls: Arc::default(),
            concurrency: Arc::default(),
        };
        let (requests, control_calls) =
            (Arc::clone(&fake.requests), Arc::clone(&fake.control_calls));
        let concurrency = Arc::clone(&fake.concurrency);
        let script: Script = Arc::new(script);
        tokio::spawn(async move {
            for connection in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                let connection = Connection {
                    stream,
                    connection,
                    script: Arc::clone(&script),
                    requests: Arc::clone(&requests),
                    control_calls: Arc::clone(&control_calls),
                    concurrency: Arc::clone(&concurrency),
                };
                tokio::spawn(connection.run());
            }
        });
        fake
    }

    /// Requests received so far, control calls excluded.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Highest number of requests that ran at the same time.
    pub fn peak_concurrency(&self) -> usize {
        self.concurrency.peak.load(Ordering::SeqCst)
    }

    /// Control calls received so far.
    pub fn control_calls(&self) -> Vec<ReceivedRequest> {
        self.control_calls.lock().unwrap().clone()
    }
}

/// Counts a request as running until dropped, which happens before its response is written.
struct RunningGuard(Arc<Concurrency>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.current.fetch_sub(1, Ordering::SeqCst);
    }
}

struct Connection {
    stream: TcpStream,
    connection: usize,
    script: Script,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    control_calls: Arc<Mutex<Vec<ReceivedRequest>>>,
    concurrency: Arc<Concurrency>,
}

impl Connection {
    async fn run(mut self) {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut self.stream, &mut buffer, self.connection).await
        {
            if request.path.starts_with("/control/") {
                self.control_calls.lock().unwrap().push(request.clone());
                let body = br#"{"cancelled":true,"warm":true}"#;
                write_response(&mut self.stream, &request, 200, "", body).await;
                continue;
            }
            let number = {
                let mut requests = self.requests.lock().unwrap();
                requests.push(request.clone());
                requests.len() - 1
            };
            let concurrent = self.concurrency.current.fetch_add(1, Ordering::SeqCst) + 1;
            self.concurrency.peak.fetch_max(concurrent, Ordering::SeqCst);
            let guard = RunningGuard(Arc::clone(&self.concurrency));
            if !self.reply(&request, number, concurrent, guard).await {
                return;
            }
        }
    }

    async fn reply(
        &mut self,
        request: &ReceivedRequest,
        number: usize,
        concurrent: usize,
        guard: RunningGuard,
    ) -> bool {
        let request = &ReceivedRequest { concurrent, ..request.clone() };
        let id = request.header("rattanarch-request").unwrap_or_default().to_owned();
        match (self.script)(request, number) {
            Reply::Respond(status, body) => {
                drop(guard);
                write_response(&mut self.stream, request, status, "", &body).await;
            }
            Reply::RespondAfter(delay, status, body) => {
                tokio::time::sleep(delay).await;
                drop(guard);
                write_response(&mut self.stream, request, status, "", &body).await;
            }
            Reply::Refuse(status) => {
                drop(guard);
                let verdict = "rattanarch-verdict: not-run\r\n";
                write_response(&mut self.stream, request, status, verdict, b"").await;
            }
            Reply::RawThenClose(text) => {
                let _ = self.stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                return false;
            }
            Reply::RawKeepOpen(text) => {
                let _ = self.stream.write_all(text.replace("{id}", &id).as_bytes()).await;
            }
            Reply::WrongId => {
                let text = "HTTP/1.1 200 OK\r\nrattanarch-request: other\r\n\
                            content-length: 5\r\n\r\nother";
                let _ = self.stream.write_all(text.as_bytes()).await;
            }
            Reply::Hang => {
                let mut sink = [0; 1024];
                while self.stream.read(&mut sink).await.is_ok_and(|n| n > 0) {}
                return false;
            }
            Reply::Close => return false,
        }
        true
    }
}

async fn write_response(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    status: u16,
    headers: &str,
    body: &[u8],
) {
    let id = request.header("rattanarch-request").unwrap_or("none");
    let head = format!(
        "HTTP/1.1 {status} X\r\nrattanarch-request: {id}\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(body).await;
}

async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    connection: usize,
) -> Option<ReceivedRequest> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        fill(stream, buffer).await?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.lines();
    let mut start = lines.next()?.split(' ').map(str::to_owned);
    let (method, path) = (start.next()?, start.next()?);
    let headers: Vec<_> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length: usize = length.map_or(0, |(_, v)| v.parse().unwrap());
    while buffer.len() < end + length {
        fill(stream, buffer).await?;
    }
    let body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some(ReceivedRequest { method, path, headers, body, connection, concurrent: 0 })
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16 * 1024];
    let count = stream.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
    buffer.extend_from_slice(&chunk[..count]);
    Some(())
}
