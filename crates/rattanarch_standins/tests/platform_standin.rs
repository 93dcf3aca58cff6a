//! The platform emulator implements docs/PLATFORM-API.md and injects faults, as seen by the product's
//! client.

use std::thread;
use std::time::Duration;

use rattanarch_platform::Object;
use rattanarch_platform::Platform;
use rattanarch_platform::PlatformError;
use rattanarch_platform::PutOutcome;
use rattanarch_standins::PlatformCounts;
use rattanarch_standins::Process;
use rattanarch_standins::Program;
use serde_json::Value;
use serde_json::json;

struct Standin {
    base: String,
    _process: Process,
}

impl Standin {
    fn start() -> Self {
        let program = Program::find("platform-standin").expect("the stand-in is built");
        let program = program.with_argument("--token").with_argument("secret");
        let (process, address) = program.start_server("platform").expect("a free port");
        Self { base: format!("http://{address}"), _process: process }
    }

    fn client(&self) -> Platform {
        Platform::new(&self.base, "secret")
    }

    fn set_faults(&self, faults: &Value) {
        let url = format!("{}/control/faults", self.base);
        ureq::post(url).send_json(faults).expect("the stand-in accepts the faults");
    }

    fn counts(&self) -> PlatformCounts {
        let mut response =
            ureq::get(format!("{}/control/counts", self.base)).call().expect("counts");
        response.body_mut().read_json().expect("counts as JSON")
    }
}

#[test]
fn conditional_update() {
    let standin = Standin::start();
    let client = standin.client();
    assert_eq!(client.get("records/a").unwrap(), Object::default());
    assert_eq!(client.put("records/a", 0, &json!(1)).unwrap(), PutOutcome::Accepted(1));
    let current = Object { version: 1, value: json!(1) };
    assert_eq!(client.put("records/a", 0, &json!(2)).unwrap(), PutOutcome::Conflict(current));
    assert_eq!(client.put("records/a", 1, &json!(3)).unwrap(), PutOutcome::Accepted(2));
    assert_eq!(client.get("records/a").unwrap(), Object { version: 2, value: json!(3) });
    let counts = standin.counts();
    assert_eq!((counts.reads, counts.writes, counts.conflicts), (2, 3, 1));
    assert!(counts.bytes_in > 0 && counts.bytes_out > 0, "{counts:?}");
}

#[test]
fn concurrent_writers() {
    let standin = Standin::start();
    let writer = |number: u64| {
        let client = standin.client();
        let accepted =
            client.put("records/a", 0, &json!(number)).unwrap() == PutOutcome::Accepted(1);
        u32::from(accepted)
    };
    let accepted: u32 = thread::scope(|scope| {
        let writers: Vec<_> = (0..16).map(|number| scope.spawn(move || writer(number))).collect();
        writers.into_iter().map(|writer| writer.join().unwrap()).sum()
    });
    assert_eq!(accepted, 1);
}

#[test]
fn listed_paths() {
    let standin = Standin::start();
    let platform = standin.client();
    for path in ["audit/coop/2", "audit/coop/1", "records/a"] {
        platform.put(path, 0, &json!(null)).unwrap();
    }
    platform.watch("audit/coop/3", 0, Duration::ZERO).unwrap();
    assert_eq!(platform.list("audit/coop/").unwrap(), ["audit/coop/1", "audit/coop/2"]);
}

#[test]
fn many_watches() {
    let standin = Standin::start();
    let notified = thread::scope(|scope| {
        let watch = || standin.client().watch("records/a", 0, Duration::from_secs(20));
        let watchers: Vec<_> = (0..300).map(|_| scope.spawn(watch)).collect();
        while standin.counts().watches < 300 {
            thread::sleep(Duration::from_millis(5));
        }
        standin.client().put("records/a", 0, &json!(7)).unwrap();
        let outcomes = watchers.into_iter().map(|watcher| watcher.join().unwrap().unwrap());
        outcomes.flatten().filter(|object| object.value == json!(7)).count()
    });
    assert_eq!(notified, 300);
}

#[test]
fn expired_watch() {
    let standin = Standin::start();
    assert_eq!(standin.client().watch("records/a", 0, Duration::from_millis(20)).unwrap(), None);
}

#[test]
fn lost_response() {
    let standin = Standin::start();
    standin.set_faults(&json!({"lose_answers": 1}));
    let client = standin.client();
    let outcome = client.put("records/a", 0, &json!(1));
    assert!(matches!(outcome, Err(PlatformError::OutcomeUnknown { .. })), "{outcome:?}");
    assert_eq!(client.get("records/a").unwrap().version, 1);
    assert_eq!(client.put("records/a", 1, &json!(1)).unwrap(), PutOutcome::Accepted(2));
}

#[test]
fn lost_request() {
    let standin = Standin::start();
    standin.set_faults(&json!({"lose_requests": 1}));
    let client = standin.client();
    let outcome = client.put("records/a", 0, &json!(1));
    assert!(matches!(outcome, Err(PlatformError::OutcomeUnknown { .. })), "{outcome:?}");
    assert_eq!(client.get("records/a").unwrap(), Object::default());
}

#[test]
fn down_and_up() {
    let standin = Standin::start();
    standin.set_faults(&json!({"down": true}));
    let outcome = standin.client().get("records/a");
    assert!(matches!(outcome, Err(PlatformError::OutcomeUnknown { .. })), "{outcome:?}");
    standin.set_faults(&json!({"down": false, "refuse": true}));
    let outcome = standin.client().put("records/a", 0, &json!(1));
    assert!(matches!(outcome, Err(PlatformError::NotExecuted { .. })), "{outcome:?}");
    standin.set_faults(&json!({"refuse": false}));
    assert_eq!(standin.client().get("records/a").unwrap(), Object::default());
}

#[test]
fn outage_cuts_watches() {
    let standin = Standin::start();
    thread::scope(|scope| {
        let watch = || standin.client().watch("records/a", 0, Duration::from_secs(20));
        let watcher = scope.spawn(watch);
        while standin.counts().watches < 1 {
            thread::sleep(Duration::from_millis(5));
        }
        standin.set_faults(&json!({"down": true}));
        let outcome = watcher.join().unwrap();
        assert!(matches!(outcome, Err(PlatformError::OutcomeUnknown { .. })), "{outcome:?}");
    });
}

#[test]
fn stale_read() {
    let standin = Standin::start();
    let client = standin.client();
    client.put("records/a", 0, &json!(1)).unwrap();
    client.put("records/a", 1, &json!(2)).unwrap();
    standin.set_faults(&json!({"stale_reads": 1}));
    assert_eq!(client.get("records/a").unwrap(), Object { version: 1, value: json!(1) });
    assert_eq!(client.get("records/a").unwrap(), Object { version: 2, value: json!(2) });
}

#[test]
fn wrong_token() {
    let standin = Standin::start();
    let outcome = Platform::new(&standin.base, "guess").get("records/a");
    assert!(matches!(outcome, Err(PlatformError::Refused { status: 401, .. })), "{outcome:?}");
}

#[test]
fn oversized_value() {
    let standin = Standin::start();
    let outcome = standin.client().put("records/a", 0, &json!("x".repeat(1 << 20)));
    let refused = matches!(outcome, Err(PlatformError::Refused { status: 413, .. }));
    assert!(refused, "{outcome:?}");
}

#[test]
fn watched_writes() {
    const WRITES: u64 = 400;
    let standin = Standin::start();
    let follow = || {
        let client = standin.client();
        let mut version = 0;
        while version < WRITES {
            let object = client.watch("records/a", version, Duration::from_secs(5)).unwrap();
            version = object.unwrap().version;
        }
    };
    thread::scope(|scope| {
        for _ in 0..16 {
            scope.spawn(follow);
        }
        let client = standin.client();
        for version in 0..WRITES {
            let accepted = client.put("records/a", version, &json!(version)).unwrap();
            assert_eq!(accepted, PutOutcome::Accepted(version + 1));
        }
    });
}
