//! Bytes that may come before the head of an answer.

/// Bytes that may come while a head is awaited. A codec bounds each head, but not how many interim ones (RFC 9110,
/// section 15.2) come before the last.
const MAX_BEFORE_HEAD: usize = 256 << 10;

/// What may still come on a connection before the head of the answer that is awaited.
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
    /// `None` while no head is awaited.
    left: Option<usize>,
}

impl HeadLimit {
    /// A request is sent: the head of its answer is awaited.
    pub fn expect_head(&mut self) {
        self.left = Some(MAX_BEFORE_HEAD);
    }

    /// The head is here.
    pub fn head_received(&mut self) {
        self.left = None;
    }

    /// Takes `bytes` that have come; returns whether they are within the limit.
    pub fn consume(&mut self, bytes: usize) -> bool {
        let Some(left) = &mut self.left else { return true };
        let fits = bytes <= *left;
        *left = left.saturating_sub(bytes);
        fits
    }
}
