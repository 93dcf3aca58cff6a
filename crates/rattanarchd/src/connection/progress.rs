//! How far a caller's connection has come.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Progress of a connection, noted by its socket and by the service behind the codec.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Whether any byte was read.
    read: AtomicBool,
    /// Whether the caller has closed its sending side.
    ended: AtomicBool,
    /// Whether a request was read and handed to the service.
    called: AtomicBool,
    /// Whether a byte was sent since the last request was handed over.
    written: AtomicBool,
}

impl Progress {
    /// A request was read and is handed to the service.
    pub(crate) fn note_call(&self) {
        self.written.store(false, Ordering::Relaxed);
        self.called.store(true, Ordering::Relaxed);
    }

    pub(crate) fn note_read(&self, count: usize) {
        let flag = if count == 0 { &self.ended } else { &self.read };
        flag.store(true, Ordering::Relaxed);
    }

    pub(crate) fn note_written(&self) {
        self.written.store(true, Ordering::Relaxed);
    }

    pub(crate) fn has_calls(&self) -> bool {
        self.called.load(Ordering::Relaxed)
    }

    pub(crate) fn has_read(&self) -> bool {
        self.read.load(Ordering::Relaxed)
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    pub(crate) fn has_written(&self) -> bool {
        self.written.load(Ordering::Relaxed)
    }
}
