//! Bound on the bytes of requests that an upstream holds.

/// Largest sum of the bodies of requests under way to one upstream, in bytes. An upstream ends if the requests that it
/// holds exceed its memory, which is not known to the daemon.
const MAX_BYTES: usize = 16 << 20;

/// Largest body that never waits, in bytes: the number of such requests is bounded by the upstream's slots.
const SMALL_BYTES: usize = 64 << 10;

/// Bytes of the requests under way to one upstream.
///
/// Designed for bodies of up to 64 MiB, several at once, beside many small ones: a long one waits until it fits, and is
/// always sent if no other long one is under way.
///
/// ```
/// use rattanarch_admission::BytesUnderWay;
///
/// let mut bytes = BytesUnderWay::default();
/// assert!(bytes.try_add(64 << 20));
/// assert!(!bytes.try_add(1 << 20));
/// assert!(bytes.try_add(1 << 10));
/// bytes.remove(64 << 20);
/// assert!(bytes.try_add(1 << 20));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BytesUnderWay {
    /// Bytes of all requests.
    sum: usize,
    /// Number of requests that are not small.
    long: usize,
}

impl BytesUnderWay {
    /// Adds a request with a body of `bytes`; returns `false`, and adds nothing, if it has to wait.
    pub fn try_add(&mut self, bytes: usize) -> bool {
        let long = bytes > SMALL_BYTES;
        let admitted = !long || self.long == 0 || self.sum + bytes <= MAX_BYTES;
        if admitted {
            self.sum += bytes;
            self.long += usize::from(long);
        }
        admitted
    }

    /// Removes a request that was added with `bytes`.
    pub fn remove(&mut self, bytes: usize) {
        self.sum -= bytes;
        self.long -= usize::from(bytes > SMALL_BYTES);
    }

    /// Bytes of all requests under way.
    pub fn sum(&self) -> usize {
        self.sum
    }
}
