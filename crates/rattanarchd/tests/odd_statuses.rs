//! An upstream sends a status that is not one of HTTP.

#![allow(clippy::unwrap_used, reason = "test helpers may panic, as test functions may")]

mod support;

use std::time::Duration;

use support::TestDaemon;
use support::send_request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Such a response is a failure, not an answer.
#[tokio::test]
async fn status_000_as_response() {
    for status in ["000", "099", "0", "20", "2000", "101"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let length = stream.read(&mut [0; 4096]).await.unwrap();
            assert!(length > 0);
            let response = format!("HTTP/1.1 {status} OK\r\ncontent-length: 2\r\n\r\nok");
            stream.write_all(response.as_bytes()).await.unwrap();
        });
        let daemon = TestDaemon::start(address, REQUEST_TIMEOUT);
        let response = send_request(daemon.address, "POST", "/trade-desk/reserve/a").await;
        let seen = (response.status, response.verdict());
        assert!(matches!(seen, (502 | 504, "may-have-run")), "{status}: {seen:?}");
    }
}
