//! A caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// An answer as the caller sees it.
#[derive(Debug)]
pub struct Got {
    pub status: u16,
    pub fields: hyper::HeaderMap,
    /// `None` if the body was cut.
    pub body: Option<Bytes>,
}

impl Got {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(|v| v.to_str().ok())
    }

    pub fn verdict(&self) -> &str {
        self.field("rattanarch-verdict").unwrap_or("none")
    }
}

/// Sends one request with an empty body on a connection of its own.
pub async fn ask(address: SocketAddr, method: &str, path: &str) -> Got {
    ask_with(address, method, path, &[], b"").await
}

/// Sends one request on a connection of its own.
pub async fn ask_with(
    address: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> Got {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path).header("host", "test");
    for (name, value) in fields {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body))).unwrap();
    let answer = sender.send_request(request).await.unwrap();
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.ok().map(|b| b.to_bytes());
    Got { status: parts.status.as_u16(), fields: parts.headers, body }
}

/// Sends `bytes` and returns everything that comes until the connection closes.
pub async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let mut text = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut chunk).await {
        text.extend_from_slice(&chunk[..count]);
    }
    String::from_utf8_lossy(&text).into_owned()
}
