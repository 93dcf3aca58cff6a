//! HTTP/1.1 over blocking sockets: a thread for each connection.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line, split at its first two spaces.
    pub first: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn method(&self) -> &str {
        &self.first[0]
    }

    pub fn target(&self) -> &str {
        &self.first[1]
    }

    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }

    /// Value of a header; names are compared in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: body.into() }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {} X\r\ncontent-length: {}\r\n", self.status, self.body.len());
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend(&self.body);
        stream.write_all(&bytes)
    }
}

/// What a handler does with a request: answer it, or close the connection without an answer.
pub enum Reaction {
    Answer(Answer),
    Close,
}

/// Serves `listener` until `ended` is set, also on connections that are open then.
pub fn serve(
    listener: TcpListener,
    ended: Arc<AtomicBool>,
    handler: impl Fn(Message) -> Reaction + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    listener.set_nonblocking(true).expect("a listener can be set non-blocking");
    thread::spawn(move || {
        while !ended.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (handler, ended) = (Arc::clone(&handler), Arc::clone(&ended));
                    thread::spawn(move || serve_stream(stream, &ended, &*handler));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    });
}

fn serve_stream(mut stream: TcpStream, ended: &AtomicBool, handler: &dyn Fn(Message) -> Reaction) {
    if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
        return;
    }
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read(&mut stream, &mut buffer) {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        match handler(request) {
            Reaction::Answer(answer) if answer.write(&mut stream).is_ok() => {}
            _ => return,
        }
    }
}

/// Reads one message; `None` if the connection was closed before its first byte. An answer without a length ends with
/// its connection.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = find(buffer, b"\r\n\r\n") {
            break at;
        }
        if fill(stream, buffer)? == 0 {
            if buffer.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or_default().splitn(3, ' ').map(str::to_owned);
    let first = [
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    ];
    let header = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_owned()))
    };
    let headers: Vec<_> = lines.filter_map(header).collect();
    let mut message = Message { first, headers, body: Vec::new() };
    let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            let at = loop {
                if let Some(at) = find(buffer, b"\r\n") {
                    break at;
                }
                need(stream, buffer)?;
            };
            let line = String::from_utf8_lossy(&buffer[..at]).into_owned();
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            while buffer.len() < at + 2 + size + 2 {
                need(stream, buffer)?;
            }
            message.body.extend(&buffer[at + 2..at + 2 + size]);
            buffer.drain(..at + 2 + size + 2);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length").and_then(|v| v.parse().ok()) {
        while buffer.len() < length {
            need(stream, buffer)?;
        }
        message.body = buffer.drain(..length).collect();
    } else if message.first[0].starts_with("HTTP/") {
        while fill(stream, buffer)? > 0 {}
        message.body = std::mem::take(buffer);
    }
    Ok(Some(message))
}

fn need(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
    if fill(stream, buffer)? == 0 { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0; 16 << 10];
    let count = stream.read(&mut bytes)?;
    buffer.extend(&bytes[..count]);
    Ok(count)
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

/// Sends one request on a new connection and reads its answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        head += "host: x\r\n";
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        head += &format!("content-length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    read(&mut stream, &mut Vec::new())?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
