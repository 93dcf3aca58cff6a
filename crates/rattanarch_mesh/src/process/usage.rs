//! What the process uses of the store, written to the log now and then.

use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use crate::process::Shared;

/// Time between two lines: few enough to be kept whatever the load, and short enough to show which
/// trouble the calls belong to.
const INTERVAL: Duration = Duration::from_secs(10);

/// Logs the calls to the store as long as the process lives.
pub(crate) async fn log_usage(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        log::info!(calls:% = calls(&shared); "store calls");
    }
}

/// Calls so far, by what they did and the kind of their objects.
fn calls(shared: &Shared) -> String {
    let mut text = String::new();
    for ((call, kind), count) in shared.store.calls() {
        // Writing to a string does not fail.
        let _ = write!(text, "{call} {kind} {count}, ");
    }
    text.truncate(text.trim_end_matches(", ").len());
    text
}
