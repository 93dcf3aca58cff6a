//! Limit on the bytes received before the head of a response.

/// Bytes accepted while a response head is awaited. The HTTP codec limits the size of each head, but not the number of
/// interim heads (RFC 9110, section 15.2) before the final one.
const MAX_BYTES_BEFORE_HEAD: usize = 256 << 10;

/// Limits the bytes that a connection may receive before the head of the next response.
///
/// ```
/// use rattanarch_admission::HeadLimit;
///
/// let mut limit = HeadLimit::default();
/// limit.expect_head();
/// assert!(limit.consume(1_000));
/// assert!(!limit.consume(1 << 20));
/// limit.head_received();
/// assert!(limit.consume(1 << 20));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadLimit {
    /// Bytes still accepted; `None` while no head is awaited.
    remaining: Option<usize>,
}

impl HeadLimit {
    /// Starts the limit when a request is sent and its response head is awaited.
    pub fn expect_head(&mut self) {
        self.remaining = Some(MAX_BYTES_BEFORE_HEAD);
    }

    /// Lifts the limit when the response head has arrived.
    pub fn head_received(&mut self) {
        self.remaining = None;
    }

    /// Counts `bytes` received. Returns whether they are within the limit.
    pub fn consume(&mut self, bytes: usize) -> bool {
        let Some(remaining) = &mut self.remaining else { return true };
        let fits = bytes <= *remaining;
        *remaining = remaining.saturating_sub(bytes);
        fits
    }
}
