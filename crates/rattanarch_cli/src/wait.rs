//! Waits for a condition.

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use rattanarch_config::OperatorRequest;
use rattanarch_config::OperatorResponse;

use crate::client::CallError;
use crate::client::Client;

/// Pause between two checks.
const POLL: Duration = Duration::from_millis(200);

/// Checks `request`'s condition until it is met, for at most `within`; the last answer.
///
/// # Errors
/// When no daemon answered the last check, or one refused it.
pub(crate) fn wait(
    client: &Client,
    request: &OperatorRequest,
    within: Duration,
) -> Result<OperatorResponse, CallError> {
    let deadline = Instant::now() + within;
    loop {
        let outcome = client.ask(request);
        let is_over = match &outcome {
            Ok(OperatorResponse::Condition { met, .. }) => *met,
            Ok(_) | Err(CallError::Refused { .. }) => true,
            Err(_) => false,
        };
        if is_over || Instant::now() + POLL > deadline {
            return outcome;
        }
        sleep(POLL);
    }
}
