//! Cases of the second review. Usage: `review_cases_2 CASE FOLDER`, in the repository's root. Exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves out the disruption.

mod deregistered;
mod endpoint;
mod fleet;
mod gate;
mod http;
mod late_write;
mod long_ids;
mod many_slashes;
mod record;
mod slow_body;

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use rattanarch_adapter_standins::Store;
use serde_json::Value;
use serde_json::json;

use crate::record::Recorder;

/// Host of all routes.
const HOST: &str = "pound.example";

/// Service that is divided by key.
const DESK: &str = "trade-desk";

/// Service without keys.
const FILES: &str = "pound-files";

/// Longest time of a case; then its processes are killed and it counts as one that couldn't run.
const LIMIT: Duration = Duration::from_secs(105);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    /// The case couldn't run, for this reason.
    Unfit(String),
}

/// What each case gets.
pub struct Setting {
    pub record: Recorder,
    pub root: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review_cases_2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Recorder::create(Path::new(folder));
    let root = std::env::current_dir().expect("there is a current folder");
    let is_calm = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let setting = Setting { record: record.clone(), root, trouble: !is_calm };
    record.say(&format!("case {case}, disruption: {}", setting.trouble));
    fleet::limit_time(LIMIT);
    let run = AssertUnwindSafe(|| match case.as_str() {
        "deregistered" => deregistered::run(&setting),
        "slow-body" => slow_body::run(&setting),
        "long-ids" => long_ids::run(&setting),
        "late-write" => late_write::run(&setting),
        "many-slashes" => many_slashes::run(&setting),
        _ => Verdict::Unfit(format!("no case {case}")),
    });
    // Dropped machines end their daemons.
    let verdict = catch_unwind(run).unwrap_or_else(|_| Verdict::Unfit("it panicked".to_owned()));
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Verdict::Unfit(reason) => {
            record.say(&format!("the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}

/// Stores the configuration as an operator does: safe and unsafe routes to both services, with timeouts as on the
/// site hummer-mesh.
pub fn configure(store: &Store) {
    let rule = |name: &str, prefix: &str, kind: &str, service: &str, aim: &str, timeout: &str| {
        json!({
            "name": name, "kind": kind, "priority": 1, "target_latency": aim,
            "match": { "path_prefix": prefix },
            "action": { "service": service, "timeout": timeout, "max_attempts": 2 },
        })
    };
    let service = |name: &str, sharded: bool| {
        json!({
            "name": name, "health_path": "/healthz", "max_connections": 130, "protocol": "h1",
            "tls": false, "cold_start": "3s", "cold_per_s": 28.0, "sharded": sharded,
            "warmup": "2s", "grants": "heartbeat",
        })
    };
    let spec = json!({
        "version": 7,
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 67_108_864,
            "header_timeout": "3000ms", "idle_timeout": "15000ms" },
        "listeners": [{ "host": HOST, "rules": [
            rule("look", "/look/", "safe", DESK, "500ms", "1200ms"),
            rule("hold", "/hold/", "unsafe", DESK, "600ms", "1500ms"),
            rule("book", "/book/", "safe", FILES, "200ms", "1000ms"),
            rule("file", "/file/", "unsafe", FILES, "600ms", "1500ms"),
        ]}],
        "clusters": [service(DESK, true), service(FILES, false)],
    });
    create(store.address, "config", "main", &spec);
}

/// Creates an object in the store.
fn create(store: SocketAddr, kind: &str, name: &str, spec: &Value) {
    let object = json!({ "metadata": { "name": name }, "spec": spec });
    let path = format!("/objects/{kind}");
    let result = http::call(store, "POST", &path, &object.to_string(), Duration::from_secs(2));
    assert!(result.is_ok_and(|status| status / 100 == 2), "the store takes the object");
}
