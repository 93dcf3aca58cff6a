//! The rest of a request body that a response does not wait for.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

/// Most bytes that are read and discarded: a caller that is refused usually sends less.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// Longest time for which the body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for which a response waits for the rest of the body. A body that arrives with its head ends within it, and
/// the connection can be used again.
const RESPONSE_DELAY: Duration = Duration::from_millis(10);

/// Time that a caller gets to take the response before a connection with unread bytes is closed, which resets it.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

/// The rest of a request body that is read and discarded, up to a bound. If the connection was closed with unread bytes, it
/// would be reset, and the caller might lose the response.
pub(crate) struct UnreadBody {
    body: Incoming,
    discarded: usize,
}

impl UnreadBody {
    pub(crate) fn new(body: Incoming) -> Self {
        Self { body, discarded: 0 }
    }

    /// Discards what arrives at once, before the response is sent. Returns the body unless it has ended.
    pub(crate) async fn discard_received(mut self) -> Option<Self> {
        let ended = tokio::time::timeout(RESPONSE_DELAY, self.discard()).await;
        (ended != Ok(true)).then_some(self)
    }

    /// Discards the rest after the response, up to the bound. Returns whether the body has ended; otherwise the connection
    /// is to be closed.
    pub(crate) async fn discard_rest(mut self) -> bool {
        let ended = tokio::time::timeout(DISCARD_TIMEOUT, self.discard()).await;
        if ended == Ok(false) {
            tokio::time::sleep(RESPONSE_TIME).await;
        }
        ended == Ok(true)
    }

    /// Reads the body to its end or the bound; returns whether it has ended.
    async fn discard(&mut self) -> bool {
        while !self.body.is_end_stream() {
            if self.discarded >= MAX_DISCARDED_BYTES {
                return false;
            }
            let Some(Ok(frame)) = self.body.frame().await else { return true };
            self.discarded += frame.data_ref().map_or(0, Bytes::len);
        }
        true
    }
}
