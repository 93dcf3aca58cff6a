//! Progress of a caller's connection.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Progress of a caller's connection, recorded by its socket and by the service that the codec calls.
#[derive(Debug, Default)]
pub(crate) struct CallerProgress {
    /// Whether any byte was received.
    received: AtomicBool,
    /// Whether the caller has shut down its sending side.
    eof: AtomicBool,
    /// Whether a request was parsed and handed to the service.
    requested: AtomicBool,
    /// Whether a byte was sent since the last request was handed to the service.
    sent: AtomicBool,
}

impl CallerProgress {
    /// Records that a request is handed to the service.
    pub(crate) fn record_request(&self) {
        self.sent.store(false, Ordering::Relaxed);
        self.requested.store(true, Ordering::Relaxed);
    }

    /// Records a read of `count` bytes; 0 is the end of the stream.
    pub(crate) fn record_received(&self, count: usize) {
        let flag = if count == 0 { &self.eof } else { &self.received };
        flag.store(true, Ordering::Relaxed);
    }

    pub(crate) fn record_sent(&self) {
        self.sent.store(true, Ordering::Relaxed);
    }

    pub(crate) fn has_requests(&self) -> bool {
        self.requested.load(Ordering::Relaxed)
    }

    pub(crate) fn has_received(&self) -> bool {
        self.received.load(Ordering::Relaxed)
    }

    pub(crate) fn has_eof(&self) -> bool {
        self.eof.load(Ordering::Relaxed)
    }

    pub(crate) fn has_sent(&self) -> bool {
        self.sent.load(Ordering::Relaxed)
    }
}
