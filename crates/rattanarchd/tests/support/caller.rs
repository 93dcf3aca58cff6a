//! A client that sends requests to a daemon.

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

/// A response as received by the caller.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    pub headers: hyper::HeaderMap,
    /// `None` if the connection closed before the end of the body.
    pub body: Option<Bytes>,
}

impl CallerResponse {
    /// Value of the header `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Value of the verdict header, or `none`.
    pub fn verdict(&self) -> &str {
        self.header("rattanarch-verdict").unwrap_or("none")
    }
}

/// Sends one request with an empty body on a new connection.
pub async fn send_request(address: SocketAddr, method: &str, path: &str) -> CallerResponse {
    send_request_with(address, method, path, &[], b"").await
}

/// Sends one request on a new connection.
pub async fn send_request_with(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> CallerResponse {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path).header("host", "test");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body))).unwrap();
    let response = sender.send_request(request).await.unwrap();
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok().map(|b| b.to_bytes());
    CallerResponse { status: parts.status.as_u16(), headers: parts.headers, body }
}

/// Sends `bytes` on a new connection and returns everything received until it closes.
pub async fn send_bytes(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let mut text = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut chunk).await {
        text.extend_from_slice(&chunk[..count]);
    }
    String::from_utf8_lossy(&text).into_owned()
}
