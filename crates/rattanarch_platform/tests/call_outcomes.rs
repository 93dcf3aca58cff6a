//! Each way in which a call can end is reported as the right error, in particular whether a write may have
//! taken effect.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use rattanarch_platform::Object;
use rattanarch_platform::Platform;
use rattanarch_platform::PlatformError;
use rattanarch_platform::PutOutcome;
use serde_json::json;

/// Serves one connection: for each request, passes its text to the test and writes the next response. Closes the
/// connection after the last response.
fn serve(responses: &[&str]) -> (Platform, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (requests, received) = mpsc::channel();
    let responses: Vec<String> = responses.iter().map(|&response| response.to_owned()).collect();
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        for response in responses {
            requests.send(read_request(&mut reader)).expect("a receiver");
            (&stream).write_all(response.as_bytes()).expect("an open connection");
        }
    });
    let platform = Platform::new(format!("http://{address}"), "secret");
    (platform.with_timeout(Duration::from_millis(500)), received)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> String {
    let mut head = String::new();
    let mut length = 0;
    loop {
        let start = head.len();
        assert_ne!(reader.read_line(&mut head).expect("a line"), 0, "closed after {head:?}");
        let line = head[start..].trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a whole body");
    head + std::str::from_utf8(&body).expect("text")
}

fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let outcome = Platform::new(base, "secret").put("records/a", 0, &json!(1));
    assert!(matches!(outcome, Err(PlatformError::NotExecuted { .. })), "{outcome:?}");
}

#[test]
fn out_of_service() {
    let (platform, _requests) = serve(&[&response("503 Service Unavailable", "")]);
    let outcome = platform.put("records/a", 0, &json!(1));
    assert!(matches!(outcome, Err(PlatformError::NotExecuted { .. })), "{outcome:?}");
}

#[test]
fn closed_unanswered() {
    let (platform, requests) = serve(&[""]);
    let outcome = platform.put("records/a", 0, &json!(1));
    assert!(matches!(outcome, Err(PlatformError::OutcomeUnknown { .. })), "{outcome:?}");
    assert!(requests.recv().unwrap().starts_with("PUT /objects/records/a?expect=0 "));
}

#[test]
fn silent_platform() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    let platform = Platform::new(base, "secret").with_timeout(Duration::from_millis(50));
    let outcome = platform.put("records/a", 0, &json!(1));
    assert!(matches!(outcome, Err(PlatformError::OutcomeUnknown { .. })), "{outcome:?}");
}

#[test]
fn unreadable_acceptance() {
    let (platform, _requests) = serve(&[&response("200 OK", "{\"version\":")]);
    let outcome = platform.put("records/a", 0, &json!(1));
    assert!(matches!(outcome, Err(PlatformError::OutcomeUnknown { .. })), "{outcome:?}");
}

#[test]
fn server_error() {
    let (platform, _requests) = serve(&[&response("500 Internal Server Error", "")]);
    let outcome = platform.put("records/a", 0, &json!(1));
    assert!(matches!(outcome, Err(PlatformError::OutcomeUnknown { .. })), "{outcome:?}");
}

#[test]
fn bad_token() {
    let (platform, _requests) = serve(&[&response("401 Unauthorized", "")]);
    let outcome = platform.get("records/a");
    assert!(matches!(outcome, Err(PlatformError::Refused { status: 401, .. })), "{outcome:?}");
}

#[test]
fn shared_connection() {
    let (platform, requests) = serve(&[
        &response("404 Not Found", "{\"version\":0}"),
        &response("200 OK", "{\"version\":1}"),
        &response("409 Conflict", "{\"version\":3,\"value\":{\"a\":2}}"),
        &response("304 Not Modified", ""),
        &response("200 OK", "{\"paths\":[\"records/a\"]}"),
    ]);
    assert_eq!(platform.get("records/a").unwrap(), Object::default());
    assert_eq!(platform.put("records/a", 0, &json!({"a": 1})).unwrap(), PutOutcome::Accepted(1));
    let current = Object { version: 3, value: json!({"a": 2}) };
    assert_eq!(
        platform.put("records/a", 1, &json!({"a": 1})).unwrap(),
        PutOutcome::Conflict(current)
    );
    assert_eq!(platform.watch("records/a", 3, Duration::from_millis(10)).unwrap(), None);
    assert_eq!(platform.list("records/").unwrap(), ["records/a"]);
    let requests: Vec<String> = requests.iter().collect();
    assert_eq!(requests.len(), 5);
    assert!(requests.iter().all(|request| request.contains("authorization: Bearer secret\r\n")));
    assert!(requests[3].starts_with("GET /objects/records/a?after=3&wait_ms=10 "));
}

#[test]
fn hidden_token() {
    let shown = format!("{:?}", Platform::new("http://127.0.0.1:1", "secret"));
    assert!(!shown.contains("secret"), "{shown}");
}
