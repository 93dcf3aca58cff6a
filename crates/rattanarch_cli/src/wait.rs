//! Waits for a condition.

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use rattanarch_config::Answer;
use rattanarch_config::Request;
use rattanarch_language::Condition;

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
    request: &Request,
    condition: &Condition,
    within: Duration,
) -> Result<Answer, CallError> {
    let deadline = Instant::now() + within;
    loop {
        let outcome = check(client, request, condition);
        let is_over = match &outcome {
            Ok(Answer::Condition { met, .. }) => *met,
            Ok(_) | Err(CallError::Refused { .. }) => true,
            Err(_) => false,
        };
        if is_over || Instant::now() + POLL > deadline {
            return outcome;
        }
        sleep(POLL);
    }
}

/// Checks once. Each daemon sees only its own service, so what is in force is asked of all of
/// them; what the platform holds, of the first that answers.
fn check(client: &Client, request: &Request, condition: &Condition) -> Result<Answer, CallError> {
    if !matches!(condition, Condition::InForce(_)) {
        return client.ask(request);
    }
    let mut details = Vec::new();
    for address in client.addresses() {
        match client.ask_one(address, request)? {
            Answer::Condition { met: true, detail } => details.push(detail),
            unmet => return Ok(unmet),
        }
    }
    Ok(Answer::Condition { met: true, detail: details.join("; ") })
}
