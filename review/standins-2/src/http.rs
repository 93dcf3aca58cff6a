//! The little HTTP/1.1 that clients and endpoints of the cases need.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::record::Recorder;

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    /// Fields; names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Value of the field `name`.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    /// Length of the body; 0 if none is stated.
    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    /// Status of a response; 0 if the line has none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(stream: &mut impl Read) -> io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return if bytes.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        bytes.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&bytes);
    let mut lines = text.lines();
    let line = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
    Ok(Some(Head { line, fields: fields.collect() }))
}

/// How a request ended for its client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// A whole response.
    Whole { status: u16, stamped: bool },
    /// The connection ended without a whole response.
    Cut,
    /// No whole response until the client left.
    Silent,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub host: String,
    pub id: String,
    /// Value of `X-Deadline-Ms`.
    pub deadline_ms: u64,
    pub key: Option<u16>,
    pub body: Vec<u8>,
}

/// Sends `request` on a connection of its own, and waits for its answer for at most `patience`.
pub fn send(
    record: &Recorder,
    to: SocketAddr,
    request: &Request,
    patience: Duration,
) -> (Answer, Duration) {
    let Request { method, path, id, body, .. } = request;
    record.line(&format!("client sends {id}: {method} {path}, {} bytes", body.len()));
    let start = Instant::now();
    let answer = match exchange(to, request, start + patience) {
        Ok(answer) => answer,
        Err(error)
            if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
        {
            Answer::Silent
        }
        Err(_) => Answer::Cut,
    };
    let took = start.elapsed();
    record.line(&format!("client gets {id}: {answer:?} after {:.3} s", took.as_secs_f64()));
    (answer, took)
}

fn exchange(to: SocketAddr, request: &Request, end: Instant) -> io::Result<Answer> {
    let left = || {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() { Err(io::Error::from(io::ErrorKind::TimedOut)) } else { Ok(left) }
    };
    // Clients allow a new connection one second.
    let mut stream = TcpStream::connect_timeout(&to, left()?.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(left()?))?;
    let Request { method, path, host, id, deadline_ms, key, body } = request;
    let key = key.map_or_else(String::new, |key| format!("x-shard-key: {key}\r\n"));
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: {deadline_ms}\r\n{key}content-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = Limited { stream, end };
    let Some(head) = read_head(&mut reader)? else { return Ok(Answer::Cut) };
    let mut body = vec![0; head.length()];
    reader.read_exact(&mut body)?;
    let stamped = head.get("x-response-stamp").is_some();
    Ok(Answer::Whole { status: head.status(), stamped })
}

/// A stream whose reads end at `end`.
struct Limited {
    stream: TcpStream,
    end: Instant,
}

impl Read for Limited {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}

/// Sends a JSON call with a time limit; returns the status.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<u16> {
    exchange_call(to, method, path, body, limit).map(|(status, _)| status)
}

/// Sends a JSON call with a time limit; returns the status and the body.
pub fn exchange_call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = Limited { stream, end: Instant::now() + limit };
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut body = vec![0; head.length()];
    reader.read_exact(&mut body)?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}
