//! Keys of client accounts.

mod mesh_support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Run;
use rattanarch_adapter_standins::Store;
use rattanarch_adapter_standins::Upstream;
use serde_json::Value;
use serde_json::json;

/// Time within which a changed configuration is in force (`config_apply`).
const APPLY_TIME: Duration = Duration::from_millis(2_500);

/// Time after the start of a daemon in which a nested call can't be told from a request without a key.
const START_TIME: Duration = Duration::from_secs(3);

/// Credentials of the account `harbour`.
const HARBOUR: (&str, &str) = ("authorization", "Bearer seal-key-1");

fn accounts() -> Value {
    json!([
        { "name": "harbour", "api_keys": ["seal-key-1", "seal-key-2"], "priority": 0 },
        { "name": "market", "api_keys": ["gull-key-1"] },
        { "name": "closed" },
    ])
}

/// A site with one upstream of [`FILES`] on each of two machines, past the start of its daemons.
fn start() -> Site {
    let store = Store::start();
    store.configure_accounts(5, &accounts());
    let mut site = Site::empty(store);
    site.add(FILES, "files-0", "centre-0");
    site.add(FILES, "files-1", "centre-1");
    wait_until("every daemon is ready", || {
        site.daemons.iter().all(|daemon| site.is_ready(daemon.addresses.ready))
    });
    thread::sleep(START_TIME);
    site
}

/// All requests that upstreams ran.
fn runs(site: &Site) -> Vec<Run> {
    site.upstreams.iter().flat_map(Upstream::runs).collect()
}

/// The run of the request `id`.
fn run(site: &Site, id: &str) -> Run {
    runs(site).into_iter().find(|run| run.id == id).expect("the request ran")
}

/// Guards against access without a valid key, against a name that the caller chooses, and against a key that gets to an
/// upstream or into a log.
#[test]
fn keys_required() {
    let site = start();
    let status =
        |id: &str, fields: &[(&str, &str)]| site.get_with(0, "/files/a", id, fields).status;
    assert_eq!(status("ok-1", &[HARBOUR]), 200);
    assert_eq!(
        status("ok-2", &[("authorization", "bearer gull-key-1"), ("x-tenant", "harbour")]),
        200
    );
    let wrong: [&[(&str, &str)]; 8] = [
        &[],
        &[("x-tenant", "harbour")],
        &[("authorization", "Bearer seal-key-3")],
        &[("authorization", "Bearer ")],
        &[("authorization", "Bearer")],
        &[("authorization", "Basic seal-key-1")],
        &[("authorization", "seal-key-1")],
        &[HARBOUR, HARBOUR],
    ];
    for (index, fields) in wrong.iter().enumerate() {
        assert_eq!(status(&format!("no-{index}"), fields), 401, "{fields:?}");
    }
    assert_eq!(status("no.dotted", &[]), 401, "a dot alone is no nested call");
    let open = [HARBOUR, ("x-tenant", "harbour")];
    assert_eq!(site.get_with(0, "/maps/a", "open", &open).status, 200);
    assert_eq!(site.get_with(0, "/none/a", "none", &[]).status, 404);

    let mut connection = TcpStream::connect(site.daemons[0].addresses.callers).expect("it listens");
    connection.set_read_timeout(Some(Duration::from_secs(1))).expect("the timeout is valid");
    let head = "POST /files/a HTTP/1.1\r\nhost: pound.example\r\ncontent-length: 90000\r\n\r\n";
    connection.write_all(head.as_bytes()).expect("the connection is open");
    let mut start = [0; 12];
    connection.read_exact(&mut start).expect("a response arrives before the body is sent");
    assert_eq!(&start, b"HTTP/1.1 401");

    let account = |id: &str| run(&site, id).account;
    assert_eq!(account("ok-1").as_deref(), Some("harbour"));
    assert_eq!(account("ok-2").as_deref(), Some("market"));
    assert_eq!(account("open"), None);
    assert_eq!(runs(&site).len(), 3, "no rejected request ran");
    assert!(runs(&site).iter().all(|run| run.credentials.is_none()));
    let logs: String = site.daemons.iter().map(|daemon| daemon.log()).collect();
    assert!(logs.contains("key unknown"), "the reason is logged");
    assert!(!logs.contains("seal-key") && !logs.contains("gull-key"), "no log contains a key");
    let metrics = site.metrics(0) + &site.metrics(1);
    assert!(!metrics.contains("seal-key") && !metrics.contains("gull-key"));
}

/// Sends a request with `key` on `connection`, and returns the status of its response.
fn send(connection: &mut TcpStream, id: &str, key: &str) -> String {
    let head = format!(
        "GET /files/a HTTP/1.1\r\nhost: pound.example\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: 2000\r\nauthorization: Bearer {key}\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).expect("the connection is open");
    let mut bytes = vec![0; 4_096];
    let mut length = 0;
    loop {
        let read = connection.read(&mut bytes[length..]).expect("a response arrives");
        assert!(read > 0, "the connection was closed");
        length += read;
        let text = String::from_utf8_lossy(&bytes[..length]);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let field = |line: &str| line.strip_prefix("content-length: ")?.parse::<usize>().ok();
            if head.lines().find_map(field).is_some_and(|expected| body.len() >= expected) {
                return head[9..12].to_owned();
            }
        }
    }
}

/// Guards against a key that stays valid on a connection that was opened before its removal, and against a configuration
/// with an ambiguous key or with `null` for the accounts, which would let all requests in.
#[test]
fn removed_key() {
    let site = start();
    let mut connection = TcpStream::connect(site.daemons[1].addresses.callers).expect("it listens");
    connection.set_read_timeout(Some(Duration::from_secs(3))).expect("the timeout is valid");
    assert_eq!(send(&mut connection, "before", "gull-key-1"), "200");
    site.store.configure_accounts(6, &json!([{ "name": "harbour", "api_keys": ["seal-key-1"] }]));
    thread::sleep(APPLY_TIME);
    assert_eq!(send(&mut connection, "after", "gull-key-1"), "401");
    assert_eq!(send(&mut connection, "other", "seal-key-1"), "200");

    let shared = json!([
        { "name": "harbour", "api_keys": ["seal-key-1"] },
        { "name": "market", "api_keys": ["seal-key-1", "gull-key-1"] },
    ]);
    site.store.configure_accounts(7, &shared);
    thread::sleep(APPLY_TIME);
    assert_eq!(send(&mut connection, "rejected", "gull-key-1"), "401");
    assert_eq!(send(&mut connection, "kept", "seal-key-1"), "200", "version 6 stays in force");
    site.store.configure_accounts(8, &Value::Null);
    thread::sleep(APPLY_TIME);
    assert_eq!(send(&mut connection, "null", "gull-key-1"), "401", "accounts are still in force");
    assert_eq!(send(&mut connection, "still", "seal-key-1"), "200", "version 6 stays in force");
    let log = site.daemons[1].log();
    assert!(log.contains("configuration malformed") && !log.contains("seal-key"));
}

/// Guards against the refusal of calls that an upstream makes for a request that it runs, also after the caller of that
/// request has disconnected or the daemon was restarted.
#[test]
fn nested_calls() {
    let mut site = start();
    site.upstreams.iter().for_each(|upstream| upstream.set_work(Duration::from_millis(800)));
    let fields = [HARBOUR];
    let parent_daemon = thread::scope(|scope| {
        let parent = scope.spawn(|| site.get_with(0, "/files/a", "parent", &fields).status);
        let at =
            || site.upstreams.iter().position(|u| u.runs().iter().any(|run| run.id == "parent"));
        wait_until("the parent runs", || at().is_some());
        let at = at().expect("the parent runs");
        assert_eq!(
            site.get_with(at, "/files/b", "parent.1", &[("x-tenant", "market")]).status,
            200
        );
        assert_eq!(
            site.get_with(1 - at, "/files/b", "parent.2", &[]).status,
            401,
            "another machine"
        );
        assert_eq!(parent.join().expect("the caller ends"), 200);
        at
    });
    assert_eq!(run(&site, "parent.1").account, None);
    assert_eq!(site.get_with(parent_daemon, "/files/b", "parent.3", &[]).status, 200, "just ended");
    site.restart_daemon(parent_daemon);
    let ready = site.daemons[parent_daemon].addresses.ready;
    wait_until("the daemon is ready", || site.is_ready(ready));
    let early = site.get_with(parent_daemon, "/files/b", "parent.4", &[]);
    assert_eq!((early.status, early.retry_after.is_some()), (503, true), "undecided after a start");
    assert_eq!(site.get_with(parent_daemon, "/files/b", "plain", &[]).status, 401);
    thread::sleep(START_TIME);
    assert_eq!(site.get_with(parent_daemon, "/files/b", "parent.5", &[]).status, 401);
}

/// Opens a connection to the first daemon and sends `start`, of a request with a body of `length` bytes and no key.
fn send_unauthorized(site: &Site, length: usize, start: &[u8]) -> TcpStream {
    let mut connection = TcpStream::connect(site.daemons[0].addresses.callers).expect("it listens");
    connection.set_read_timeout(Some(Duration::from_secs(5))).expect("the timeout is valid");
    let head = format!(
        "POST /files/a HTTP/1.1\r\nhost: pound.example\r\ncontent-length: {length}\r\n\r\n"
    );
    connection.write_all(&[head.as_bytes(), start].concat()).expect("the connection is open");
    connection
}

/// Guards against a refusal that is lost because the connection is reset while the caller still sends the body, and against
/// connections that stay open for a body that does not end, or that is long.
#[test]
fn unread_bodies() {
    let site = start();
    let piece = [b'x'; 10_000];
    let mut connection = send_unauthorized(&site, 60_000, &piece);
    for _ in 1..6 {
        thread::sleep(Duration::from_millis(100));
        connection.write_all(&piece).expect("the daemon takes the rest of the body");
    }
    let mut response = String::new();
    connection.read_to_string(&mut response).expect("the connection ends without a reset");
    assert!(
        response.starts_with("HTTP/1.1 401") && response.ends_with("key missing"),
        "{response}"
    );

    let mut connection = send_unauthorized(&site, 60_000, &piece);
    let before = Instant::now();
    let mut start = [0; 12];
    connection.read_exact(&mut start).expect("the response does not wait for the body");
    assert!(before.elapsed() < Duration::from_millis(500));
    // An error is a reset, since the caller may not know that the connection is closed.
    let _ = connection.read_to_end(&mut Vec::new());
    let open = before.elapsed();
    assert!(open > Duration::from_millis(700) && open < Duration::from_secs(3), "{open:?}");

    let mut connection = send_unauthorized(&site, 10_000_000, &piece);
    let before = Instant::now();
    let sent = (0..1_000).take_while(|_| connection.write_all(&piece).is_ok()).count();
    assert!(sent < 999, "a long body is not read to its end");
    assert!(before.elapsed() < Duration::from_secs(3));

    let mut connection = send_unauthorized(&site, 5, b"short");
    let mut bytes = [0; 4_096];
    let read = connection.read(&mut bytes).expect("a response arrives");
    assert!(bytes[..read].starts_with(b"HTTP/1.1 401"));
    assert_eq!(send(&mut connection, "next", "seal-key-1"), "200", "the connection stays usable");
}
