//! A timeout that takes responses which have already arrived.

use std::future::Future;
use std::time::Duration;

/// Times that other tasks may run after the timeout: the connection's task has to read the response and hand on its
/// head and its body.
const FINAL_POLLS: u32 = 4;

/// Waits for `response` for at most `limit`; `None` if it hasn't arrived by then.
///
/// After a pause of the process, the time may be over before the connection's task has run. A response that is in the
/// socket's buffer by then still counts.
pub(crate) async fn within<T>(limit: Duration, response: impl Future<Output = T>) -> Option<T> {
    let mut response = std::pin::pin!(response);
    if let Ok(response) = tokio::time::timeout(limit, &mut response).await {
        return Some(response);
    }
    for _ in 0..FINAL_POLLS {
        tokio::task::yield_now().await;
        tokio::select! {
            biased;
            response = &mut response => return Some(response),
            () = std::future::ready(()) => {}
        }
    }
    None
}
