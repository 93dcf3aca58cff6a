//! Waiting for an answer for a limited time.

use std::future::Future;
use std::time::Duration;

/// Turns of the other tasks that an answer gets when its time is over: the connection's task reads it, and hands on its
/// head and its body.
const LAST_TURNS: u32 = 4;

/// Waits for `answer` for `limit`; `None` if it has not come by then.
///
/// After a pause of the process the time may be over before the connection's task has had its turn: what lies in the
/// socket by then is taken.
pub(crate) async fn within<T>(limit: Duration, answer: impl Future<Output = T>) -> Option<T> {
    let mut answer = std::pin::pin!(answer);
    if let Ok(answer) = tokio::time::timeout(limit, &mut answer).await {
        return Some(answer);
    }
    for _ in 0..LAST_TURNS {
        tokio::task::yield_now().await;
        tokio::select! {
            biased;
            answer = &mut answer => return Some(answer),
            () = std::future::ready(()) => {}
        }
    }
    None
}
