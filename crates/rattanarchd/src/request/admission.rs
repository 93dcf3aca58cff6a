//! How many requests run at the upstream at once.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rattanarch_types::Priority;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::request::RequestError;

/// Longest wait for a slot.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Lets requests through to the upstream, within its slots.
#[derive(Debug)]
pub(crate) struct Admission {
    slots: Arc<Semaphore>,
}

/// Leave to run one request at the upstream, until dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    _slot: OwnedSemaphorePermit,
}

impl Admission {
    pub(crate) fn new(slots: u16) -> Self {
        Self { slots: Arc::new(Semaphore::new(usize::from(slots))) }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// [`RequestError::Overloaded`] at once if none will be free in time.
    pub(crate) async fn admit(
        &self,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Permit, RequestError> {
        let _ = priority;
        let slots = Arc::clone(&self.slots);
        let left = deadline.saturating_duration_since(Instant::now());
        let acquired = tokio::time::timeout(left.min(MAX_WAIT), slots.acquire_owned()).await;
        match acquired {
            Ok(Ok(slot)) => Ok(Permit { _slot: slot }),
            _ => Err(RequestError::Overloaded { retry: MAX_WAIT }),
        }
    }
}
