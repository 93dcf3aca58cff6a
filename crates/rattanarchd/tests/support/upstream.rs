//! An upstream that answers as its script says.

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

/// A request that the upstream has read.
#[derive(Clone, Debug)]
pub struct Ask {
    pub method: String,
    pub path: String,
    /// Names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Which connection it came by, from 0.
    pub connection: usize,
    /// Requests being worked on, this one included.
    pub now: usize,
}

impl Ask {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// What the upstream does with a request.
pub enum Reply {
    /// Answers with status and body, echoing the request's id.
    Answer(u16, Vec<u8>),
    /// The same after a time.
    Late(Duration, u16, Vec<u8>),
    /// Refuses with this status and the verdict `not-run`.
    Refuse(u16),
    /// Writes these bytes as they are; `{id}` becomes the request's id. Then closes.
    Raw(String),
    /// Writes these bytes as they are, and goes on with the connection.
    RawOpen(String),
    /// Answers with another request's id.
    Crossed,
    /// Never answers.
    Mute,
    /// Closes without an answer.
    Close,
}

type Script = Arc<dyn Fn(&Ask, usize) -> Reply + Send + Sync>;

/// Upstream that answers by a script; control calls are answered by themselves.
pub struct FakeUpstream {
    pub address: SocketAddr,
    asks: Arc<Mutex<Vec<Ask>>>,
    controls: Arc<Mutex<Vec<Ask>>>,
    busy: Arc<Busy>,
}

/// Requests for work that are being worked on.
#[derive(Debug, Default)]
pub struct Busy {
    pub now: AtomicUsize,
    pub peak: AtomicUsize,
}

impl FakeUpstream {
    /// `script` gets each request for work and its number, from 0.
    pub async fn start(script: impl Fn(&Ask, usize) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let fake =
            Self { address, asks: Arc::default(), controls: Arc::default(), busy: Arc::default() };
        let (asks, controls) = (Arc::clone(&fake.asks), Arc::clone(&fake.controls));
        let busy = Arc::clone(&fake.busy);
        let script: Script = Arc::new(script);
        tokio::spawn(async move {
            for connection in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                let served = Connection {
                    stream,
                    connection,
                    script: Arc::clone(&script),
                    asks: Arc::clone(&asks),
                    controls: Arc::clone(&controls),
                    busy: Arc::clone(&busy),
                };
                tokio::spawn(served.run());
            }
        });
        fake
    }

    /// Requests for work so far.
    pub fn asks(&self) -> Vec<Ask> {
        self.asks.lock().unwrap().clone()
    }

    /// Most requests for work at once so far.
    pub fn peak(&self) -> usize {
        self.busy.peak.load(Ordering::SeqCst)
    }

    /// Control calls so far.
    pub fn controls(&self) -> Vec<Ask> {
        self.controls.lock().unwrap().clone()
    }
}

/// Counts a request among the busy ones until its work is done, before its answer is written.
struct Work(Arc<Busy>);

impl Drop for Work {
    fn drop(&mut self) {
        self.0.now.fetch_sub(1, Ordering::SeqCst);
    }
}

struct Connection {
    stream: TcpStream,
    connection: usize,
    script: Script,
    asks: Arc<Mutex<Vec<Ask>>>,
    controls: Arc<Mutex<Vec<Ask>>>,
    busy: Arc<Busy>,
}

impl Connection {
    async fn run(mut self) {
        let mut buffer = Vec::new();
        while let Some(ask) = read_ask(&mut self.stream, &mut buffer, self.connection).await {
            if ask.path.starts_with("/control/") {
                self.controls.lock().unwrap().push(ask.clone());
                let body = br#"{"cancelled":true,"warm":true}"#;
                write(&mut self.stream, &ask, 200, "", body).await;
                continue;
            }
            let number = {
                let mut asks = self.asks.lock().unwrap();
                asks.push(ask.clone());
                asks.len() - 1
            };
            let now = self.busy.now.fetch_add(1, Ordering::SeqCst) + 1;
            self.busy.peak.fetch_max(now, Ordering::SeqCst);
            let work = Work(Arc::clone(&self.busy));
            if !self.reply(&ask, number, now, work).await {
                return;
            }
        }
    }

    async fn reply(&mut self, ask: &Ask, number: usize, now: usize, work: Work) -> bool {
        let ask = &Ask { now, ..ask.clone() };
        let id = ask.field("rattanarch-request").unwrap_or_default().to_owned();
        match (self.script)(ask, number) {
            Reply::Answer(status, body) => {
                drop(work);
                write(&mut self.stream, ask, status, "", &body).await;
            }
            Reply::Late(time, status, body) => {
                tokio::time::sleep(time).await;
                drop(work);
                write(&mut self.stream, ask, status, "", &body).await;
            }
            Reply::Refuse(status) => {
                drop(work);
                let verdict = "rattanarch-verdict: not-run\r\n";
                write(&mut self.stream, ask, status, verdict, b"").await;
            }
            Reply::Raw(text) => {
                let _ = self.stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                return false;
            }
            Reply::RawOpen(text) => {
                let _ = self.stream.write_all(text.replace("{id}", &id).as_bytes()).await;
            }
            Reply::Crossed => {
                let text = "HTTP/1.1 200 OK\r\nrattanarch-request: other\r\n\
                            content-length: 5\r\n\r\nother";
                let _ = self.stream.write_all(text.as_bytes()).await;
            }
            Reply::Mute => {
                let mut sink = [0; 1024];
                while self.stream.read(&mut sink).await.is_ok_and(|n| n > 0) {}
                return false;
            }
            Reply::Close => return false,
        }
        true
    }
}

async fn write(stream: &mut TcpStream, ask: &Ask, status: u16, fields: &str, body: &[u8]) {
    let id = ask.field("rattanarch-request").unwrap_or("none");
    let head = format!(
        "HTTP/1.1 {status} X\r\nrattanarch-request: {id}\r\n{fields}content-length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(body).await;
}

async fn read_ask(stream: &mut TcpStream, buffer: &mut Vec<u8>, connection: usize) -> Option<Ask> {
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
    let fields: Vec<_> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    let length = fields.iter().find(|(n, _)| n == "content-length");
    let length: usize = length.map_or(0, |(_, v)| v.parse().unwrap());
    while buffer.len() < end + length {
        fill(stream, buffer).await?;
    }
    let body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some(Ask { method, path, fields, body, connection, now: 0 })
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16 * 1024];
    let count = stream.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
    buffer.extend_from_slice(&chunk[..count]);
    Some(())
}
