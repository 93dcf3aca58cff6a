//! The `wait` statement.

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use rattanarch_config::OperatorRequest;
use rattanarch_config::OperatorResponse;

use crate::client::CallError;
use crate::client::Client;

/// Pause between two checks of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Sends `request`, which asks for a condition, until the condition is met or `within` is over. Returns the last
/// response.
///
/// # Errors
/// If a daemon refused the request, or none responded to the last one.
pub(crate) fn wait_for_condition(
    client: &Client,
    request: &OperatorRequest,
    within: Duration,
) -> Result<OperatorResponse, CallError> {
    let deadline = Instant::now() + within;
    loop {
        let outcome = client.send(request);
        let is_final = match &outcome {
            Ok(OperatorResponse::Condition { met, .. }) => *met,
            Ok(_) | Err(CallError::Refused { .. }) => true,
            Err(_) => false,
        };
        if is_final || Instant::now() + POLL_INTERVAL > deadline {
            return outcome;
        }
        sleep(POLL_INTERVAL);
    }
}
