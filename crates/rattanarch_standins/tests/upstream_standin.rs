//! The upstream emulator implements docs/UPSTREAM-API.md and injects the requested faults.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rattanarch_standins::Content;
use rattanarch_standins::Journal;
use rattanarch_standins::JournalEvent;
use rattanarch_standins::Outcome;
use rattanarch_standins::Process;
use rattanarch_standins::Program;
use serde_json::Value;
use serde_json::json;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

/// Length of a file that exceeds any socket buffer, in bytes.
const LARGE_FILE_BYTES: u64 = 40 << 20;

struct Standin {
    address: SocketAddr,
    agent: Agent,
    process: Process,
}

impl Standin {
    fn start(arguments: &[&str]) -> Self {
        let mut program = Program::find("upstream-standin").expect("the stand-in is built");
        for &argument in arguments {
            program = program.with_argument(argument);
        }
        let (process, address) = program.start_server("upstream").expect("a free port");
        let config = Agent::config_builder().http_status_as_error(false).proxy(None);
        let config = config.timeout_global(Some(Duration::from_secs(10))).build();
        Self { address, agent: Agent::new_with_config(config), process }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn get(&self, path: &str) -> Value {
        let mut response = self.agent.get(self.url(path)).call().expect("a response");
        response.body_mut().read_json().expect("JSON")
    }

    fn grant(&self, fence: u64, duration_ms: u64) -> (u16, Value) {
        let clock = self.get("/control/clock");
        let until_ms = clock["clock_ms"].as_u64().expect("a clock") + duration_ms;
        self.put_grant(&json!({"boot": clock["boot"], "fence": fence, "until_ms": until_ms}))
    }

    fn put_grant(&self, grant: &Value) -> (u16, Value) {
        let response = self.agent.put(self.url("/control/grant")).send_json(grant);
        let mut response = response.expect("a response");
        (response.status().as_u16(), response.body_mut().read_json().expect("JSON"))
    }

    fn set_faults(&self, faults: &Value) {
        let response = self.agent.post(self.url("/test/faults")).send_json(faults);
        assert_eq!(response.expect("a response").status(), 200);
    }

    fn reserve(&self, id: &str, fence: u64) -> Result<Response<Body>, ureq::Error> {
        let request = self.agent.post(self.url("/reservations/tank-1"));
        let request = request.header("rattanarch-request", id);
        let request = request.header("rattanarch-key", "tank-1");
        let request = request.header("idempotency-key", id);
        request.header("rattanarch-fence", fence.to_string()).send_empty()
    }

    /// Reads a value with a timeout of half a second.
    fn get_with_timeout(&self) -> Result<Response<Body>, ureq::Error> {
        let request = self.agent.get(self.url("/stock/a"));
        request.config().timeout_global(Some(Duration::from_millis(500))).build().call()
    }

    fn journal(&self) -> Journal {
        serde_json::from_value(self.get("/test/journal")).expect("a journal")
    }

    fn outcomes(&self) -> Vec<Outcome> {
        let entries = self.journal().entries.into_iter();
        let ends = entries.filter_map(|entry| match entry.event {
            JournalEvent::Ended { outcome, .. } => Some(outcome),
            _ => None,
        });
        ends.collect()
    }

    fn wait_running(&self, count: u64) {
        while self.get("/control/load")["running"] != count {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn verdict(response: &Response<Body>) -> (u16, &str) {
    let verdict = response.headers().get("rattanarch-verdict");
    (response.status().as_u16(), verdict.map_or("", |value| value.to_str().unwrap_or_default()))
}

fn request_of(response: &mut Response<Body>) -> Value {
    response.body_mut().read_json::<Value>().expect("JSON")["request"].clone()
}

#[test]
fn other_boot() {
    // A grant issued against the clock of an earlier process could last for days on this one's.
    let upstream = Standin::start(&[]);
    let boot = upstream.get("/control/clock")["boot"].as_u64().expect("a boot id");
    let grant = json!({"boot": boot.wrapping_add(1), "fence": 7, "until_ms": 1_000_000});
    let (status, response) = upstream.put_grant(&grant);
    assert_eq!((status, response["boot"].as_u64()), (412, Some(boot)));
    assert_eq!(upstream.get("/control/clock")["fence"], 0);
}

#[test]
fn fenced_work() {
    let upstream = Standin::start(&["--clock-offset", "123456"]);
    assert_eq!(verdict(&upstream.reserve("a", 5).unwrap()), (412, "not-run"));
    assert_eq!(upstream.grant(5, 60_000).0, 200);
    assert_eq!(verdict(&upstream.reserve("b", 4).unwrap()), (412, "not-run"));
    assert_eq!(verdict(&upstream.reserve("c", 6).unwrap()), (412, "not-run"));
    let mut response = upstream.reserve("d", 5).unwrap();
    assert_eq!(verdict(&response), (200, ""));
    assert_eq!(response.headers()["rattanarch-request"], "d");
    assert_eq!(request_of(&mut response), "d");
    assert_eq!(upstream.grant(4, 60_000), (409, json!({"fence": 5})));
    assert_eq!(upstream.outcomes(), [Outcome::Done]);
}

#[test]
fn ended_grant() {
    let upstream = Standin::start(&[]);
    upstream.grant(5, 0);
    assert_eq!(verdict(&upstream.reserve("a", 5).unwrap()), (412, "not-run"));
    upstream.grant(5, 150);
    upstream.set_faults(&json!({"delay_ms": 400}));
    let response = upstream.reserve("b", 5).unwrap();
    assert_eq!(verdict(&response), (412, "not-run"));
    assert_eq!(upstream.outcomes(), [Outcome::GrantEnded]);
}

#[test]
fn grant_gap() {
    let upstream = Standin::start(&[]);
    upstream.grant(5, 100);
    upstream.set_faults(&json!({"delay_ms": 600}));
    thread::scope(|scope| {
        let late = scope.spawn(|| upstream.reserve("a", 5).unwrap());
        thread::sleep(Duration::from_millis(200));
        let (_, accepted) = upstream.grant(6, 60_000);
        assert_eq!(accepted["older_running"], 1);
        assert_eq!(verdict(&late.join().unwrap()), (412, "not-run"));
    });
}

#[test]
fn slot_limit() {
    let upstream = Standin::start(&["--slots", "1"]);
    upstream.grant(1, 60_000);
    upstream.set_faults(&json!({"delay_ms": 300}));
    thread::scope(|scope| {
        let first = scope.spawn(|| upstream.reserve("a", 1).unwrap());
        upstream.wait_running(1);
        assert_eq!(verdict(&upstream.reserve("b", 1).unwrap()), (503, "not-run"));
        assert_eq!(verdict(&first.join().unwrap()), (200, ""));
    });
}

#[test]
fn cancelled_work() {
    let upstream = Standin::start(&[]);
    upstream.grant(1, 60_000);
    upstream.set_faults(&json!({"delay_ms": 8_000}));
    thread::scope(|scope| {
        let first = scope.spawn(|| upstream.reserve("a", 1).unwrap());
        upstream.wait_running(1);
        let url = upstream.url("/control/requests/a");
        let mut response = upstream.agent.delete(url).call().unwrap();
        assert_eq!(response.body_mut().read_json::<Value>().unwrap(), json!({"cancelled": true}));
        assert_eq!(verdict(&first.join().unwrap()), (503, "not-run"));
    });
    assert_eq!(upstream.outcomes(), [Outcome::Cancelled]);
}

#[test]
fn caller_disconnected() {
    let upstream = Standin::start(&["--ignore-fences"]);
    upstream.set_faults(&json!({"delay_ms": 8_000}));
    let mut caller = TcpStream::connect(upstream.address).unwrap();
    caller
        .write_all(b"POST /reservations/a HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n")
        .unwrap();
    upstream.wait_running(1);
    drop(caller);
    upstream.wait_running(0);
    assert_eq!(upstream.outcomes(), [Outcome::Abandoned]);
}

#[test]
fn past_deadline() {
    let upstream = Standin::start(&["--ignore-fences"]);
    upstream.set_faults(&json!({"delay_ms": 8_000}));
    for deadline in ["0", "50"] {
        let request = upstream.agent.get(upstream.url("/stock/a"));
        let response = request.header("rattanarch-deadline-ms", deadline).call().unwrap();
        assert_eq!(verdict(&response), (504, "not-run"));
    }
    assert_eq!(upstream.outcomes(), [Outcome::Expired]);
}

#[test]
fn cold_start() {
    let upstream = Standin::start(&["--cold", "--slots", "1"]);
    upstream.grant(1, 60_000);
    assert_eq!(upstream.get("/control/health")["warm"], false);
    for id in 0..50 {
        assert_eq!(verdict(&upstream.reserve(&id.to_string(), 1).unwrap()), (200, ""));
    }
    assert_eq!(upstream.get("/control/health")["warm"], true);
}

#[test]
fn cold_overload() {
    let upstream = Standin::start(&["--cold", "--slots", "1"]);
    upstream.grant(1, 60_000);
    upstream.set_faults(&json!({"delay_ms": 8_000}));
    thread::scope(|scope| {
        let running =
            [scope.spawn(|| upstream.reserve("a", 1)), scope.spawn(|| upstream.reserve("b", 1))];
        upstream.wait_running(2);
        for id in ["c", "d", "e", "f"] {
            assert_eq!(verdict(&upstream.reserve(id, 1).unwrap()), (503, "not-run"));
        }
        for running in running {
            assert!(running.join().unwrap().is_err());
        }
    });
    assert_eq!(upstream.outcomes(), [Outcome::Abandoned, Outcome::Abandoned]);
}

#[test]
fn unread_connection() {
    let upstream = Standin::start(&["--ignore-fences"]);
    upstream.set_faults(&json!({"deaf_next": 1}));
    assert!(matches!(upstream.get_with_timeout(), Err(ureq::Error::Timeout(_))));
    assert_eq!(upstream.outcomes(), []);
    assert!(upstream.get_with_timeout().is_ok());
}

#[test]
fn unanswered_connection() {
    let upstream = Standin::start(&["--ignore-fences"]);
    upstream.set_faults(&json!({"mute_next": 1}));
    assert!(matches!(upstream.get_with_timeout(), Err(ureq::Error::Timeout(_))));
    assert_eq!(upstream.outcomes(), [Outcome::Done]);
    assert!(upstream.get_with_timeout().is_ok());
}

#[test]
fn late_response() {
    let upstream = Standin::start(&["--ignore-fences"]);
    upstream.set_faults(&json!({"late_next": 1, "late_ms": 700}));
    assert!(matches!(upstream.get_with_timeout(), Err(ureq::Error::Timeout(_))));
    assert_eq!(upstream.outcomes(), [Outcome::Done]);
}

#[test]
fn cut_response() {
    let upstream = Standin::start(&["--ignore-fences"]);
    upstream.set_faults(&json!({"cut_next": 2}));
    for path in ["/stock/a", "/files/a?bytes=1000000"] {
        let mut response = upstream.agent.get(upstream.url(path)).call().unwrap();
        assert_eq!(response.status(), 200);
        assert!(response.body_mut().read_to_vec().is_err(), "the whole response to {path} arrived");
    }
}

#[test]
fn crossed_response() {
    let upstream = Standin::start(&[]);
    upstream.grant(1, 60_000);
    upstream.reserve("a", 1).unwrap();
    upstream.set_faults(&json!({"cross_next": 1}));
    let mut crossed = upstream.reserve("b", 1).unwrap();
    assert_eq!(crossed.headers()["rattanarch-request"], "a");
    assert_eq!(request_of(&mut crossed), "a");
    assert_eq!(request_of(&mut upstream.reserve("c", 1).unwrap()), "c");
}

#[test]
fn frozen_upstream() {
    let upstream = Standin::start(&[]);
    upstream.grant(1, 300);
    upstream.set_faults(&json!({"freeze": true}));
    thread::scope(|scope| {
        let frozen = scope.spawn(|| upstream.reserve("a", 1).unwrap());
        thread::sleep(Duration::from_millis(400));
        upstream.set_faults(&json!({"freeze": false}));
        // The grant ended meanwhile, so that the request must not run.
        assert_eq!(verdict(&frozen.join().unwrap()), (412, "not-run"));
    });
}

#[test]
fn misleading_load() {
    let upstream = Standin::start(&["--ignore-fences"]);
    upstream.set_faults(&json!({"report": "misleading", "cold": true}));
    assert_eq!(upstream.get("/control/health")["warm"], true);
    upstream.set_faults(&json!({"report": "honest"}));
    assert_eq!(upstream.get("/control/health")["warm"], false);
}

#[test]
fn large_file() {
    let upstream = Standin::start(&["--ignore-fences"]);
    let url = upstream.url(&format!("/files/valley.map?bytes={LARGE_FILE_BYTES}"));
    let response = upstream.agent.get(url).call().unwrap();
    let mut reader = response.into_body().into_reader();
    let content = Content::new("valley.map");
    let mut buffer = vec![0; 256 << 10];
    let mut offset = 0;
    loop {
        let count = reader.read(&mut buffer).unwrap();
        if count == 0 {
            break;
        }
        assert!(content.matches(offset, &buffer[..count]), "wrong content at offset {offset}");
        offset += count as u64;
    }
    assert_eq!(offset, LARGE_FILE_BYTES);
    let status = std::fs::read_to_string(format!("/proc/{}/status", upstream.process.pid()));
    let status = status.unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    assert!(peak * 1_024 < LARGE_FILE_BYTES, "peak memory of {peak} kB");
}

#[test]
fn terminated_process() {
    let mut upstream = Standin::start(&[]);
    upstream.process.terminate().unwrap();
    let status = upstream.process.wait(Duration::from_secs(10)).unwrap();
    assert!(status.success(), "{status}");
}
