//! Conditional updates that are retried when responses are lost.

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use rattanarch_platform::Platform;
use rattanarch_platform::PlatformError;
use rattanarch_platform::PutOutcome;
use rattanarch_types::Version;
use serde_json::Value;

/// Pause before an update with a lost response is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Conditional update that is retried until its outcome is known.
///
/// A retry is harmless, since at most one update with the same expected version is accepted. A read after a lost
/// response would not determine the outcome: an update still on its way could take effect after it.
#[derive(Debug)]
pub(crate) struct ConditionalUpdate<'a> {
    platform: &'a Platform,
    deadline: Instant,
    /// Why the outcome is unknown; `None` while no response was lost.
    pub(crate) unresolved: Option<String>,
}

impl<'a> ConditionalUpdate<'a> {
    /// Creates an update that is retried until `deadline` at most.
    pub(crate) fn new(platform: &'a Platform, deadline: Instant) -> Self {
        Self { platform, deadline, unresolved: None }
    }

    /// Replaces the object at `path` if its version is `expected`; version 0 stands for no object.
    ///
    /// # Errors
    /// If the update was not executed, or if its outcome is still unknown at the deadline.
    pub(crate) fn put(
        &mut self,
        path: &str,
        expected: Version,
        value: &Value,
    ) -> Result<PutOutcome, PlatformError> {
        loop {
            let error = match self.platform.put(path, expected, value) {
                Ok(outcome) => return Ok(outcome),
                Err(error) => error,
            };
            if may_take_effect(&error) {
                self.unresolved = Some(error.to_string());
            }
            if self.unresolved.is_none() || Instant::now() >= self.deadline {
                return Err(error);
            }
            sleep(RETRY_PAUSE);
        }
    }
}

/// Whether the update may have taken effect, now or later.
fn may_take_effect(error: &PlatformError) -> bool {
    !matches!(error, PlatformError::NotExecuted { .. } | PlatformError::Refused { .. })
}
