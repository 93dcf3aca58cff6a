//! Logs the store calls of the process periodically.

use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use crate::process::Shared;

/// Interval of the log lines: few enough lines to be kept under any load, and short enough to show which incident the
/// calls belong to.
const INTERVAL: Duration = Duration::from_secs(10);

/// Logs the calls to the store as long as the process lives.
pub(crate) async fn log_usage(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        log::info!(calls:% = calls(&shared); "store calls");
    }
}

/// Calls so far, by call and kind of object.
fn calls(shared: &Shared) -> String {
    let mut text = String::new();
    for ((call, kind), count) in shared.store.calls() {
        // Writing to a string does not fail.
        let _ = write!(text, "{call} {kind} {count}, ");
    }
    text.truncate(text.trim_end_matches(", ").len());
    text
}
