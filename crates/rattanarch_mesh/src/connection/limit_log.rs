//! Counts and logs what the limits on callers and peers refuse or close.

use std::cell::RefCell;
use std::time::Duration;

use derive_more::Display;
use rattanarch_types::Moment;

/// Shortest time between two log lines about the same event.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Why a request was refused, or a body or a connection given up.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum LimitEvent {
    /// A body or response without progress, or the longest one, gave way to another.
    #[display("evicted")]
    Evicted,
    /// The budget has no room for a body.
    #[display("no-room")]
    NoRoom,
    /// A body made no progress.
    #[display("body-stalled")]
    BodyStalled,
    /// A body is longer than permitted.
    #[display("body-too-long")]
    BodyTooLong,
    /// A head did not end in time.
    #[display("head-timeout")]
    HeadTimeout,
    /// A client did not read its response.
    #[display("reader-stalled")]
    ReaderStalled,
    /// An idle connection gave way to a new one.
    #[display("idle-closed")]
    IdleClosed,
    /// A new connection was closed, since its listener has no room.
    #[display("connection-refused")]
    ConnectionRefused,
}

/// Counts by event, and when each was last logged.
#[derive(Debug, Default)]
pub(crate) struct LimitLog(RefCell<Vec<Entry>>);

#[derive(Debug)]
struct Entry {
    event: LimitEvent,
    count: u64,
    /// Events that no log line tells of yet.
    unlogged: u64,
    logged: Option<Moment>,
}

impl LimitLog {
    /// Counts `event`, and logs it unless that was done lately.
    pub(crate) fn record(&self, now: Moment, event: LimitEvent) {
        let mut entries = self.0.borrow_mut();
        let index = entries.iter().position(|entry| entry.event == event).unwrap_or_else(|| {
            entries.push(Entry { event, count: 0, unlogged: 0, logged: None });
            entries.len() - 1
        });
        let entry = &mut entries[index];
        entry.count += 1;
        entry.unlogged += 1;
        if entry.logged.is_none_or(|at| now >= at + LOG_INTERVAL) {
            entry.logged = Some(now);
            let count = std::mem::take(&mut entry.unlogged);
            log::warn!(reason:% = event, count = count; "caller outside the limits");
        }
    }

    /// Numbers of events.
    pub(crate) fn counts(&self) -> Vec<(LimitEvent, u64)> {
        self.0.borrow().iter().map(|entry| (entry.event, entry.count)).collect()
    }
}
