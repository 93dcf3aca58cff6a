//! Conditional updates whose answers may be lost.

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use rattanarch_platform::Platform;
use rattanarch_platform::PlatformError;
use rattanarch_platform::PutOutcome;
use rattanarch_types::Version;
use serde_json::Value;

/// Pause before an update is repeated because its answer was lost.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Updates until the platform says how it ended.
///
/// Repeating the same update is harmless, since at most one with the same expected version is
/// accepted. A plain read would not settle a lost answer: an update still on its way could land
/// after it.
#[derive(Debug)]
pub(crate) struct Update<'a> {
    platform: &'a Platform,
    deadline: Instant,
    /// Why the outcome is open; `None` while nothing was sent without an answer.
    pub(crate) unsettled: Option<String>,
}

impl<'a> Update<'a> {
    /// An update that is repeated at most until `deadline`.
    pub(crate) fn new(platform: &'a Platform, deadline: Instant) -> Self {
        Self { platform, deadline, unsettled: None }
    }

    /// Replaces an object whose version is `expected`.
    pub(crate) fn put(
        &mut self,
        path: &str,
        expected: Version,
        value: &Value,
    ) -> Result<PutOutcome, PlatformError> {
        loop {
            let error = match self.platform.put(path, expected, value) {
                Ok(put) => return Ok(put),
                Err(error) => error,
            };
            if is_open(&error) {
                self.unsettled = Some(error.to_string());
            }
            if self.unsettled.is_none() || Instant::now() >= self.deadline {
                return Err(error);
            }
            sleep(RETRY_PAUSE);
        }
    }
}

/// Whether the update may have taken effect, now or later.
fn is_open(error: &PlatformError) -> bool {
    !matches!(error, PlatformError::NotExecuted { .. } | PlatformError::Refused { .. })
}
