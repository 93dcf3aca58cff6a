//! The fake platform: one object, changed by conditional update.

use rattanarch_ownership::WriteOutcome;
use rattanarch_types::Record;

/// The stored record and the faults of its store.
pub struct Platform {
    pub stored: Record,
    pub previous: Record,
    /// True time until which nothing is answered.
    pub down: u64,
    pub writes: u64,
    pub conflicts: u64,
    pub reads: u64,
}

impl Platform {
    pub fn new(record: Record) -> Self {
        let previous = record.clone();
        Self { stored: record, previous, down: 0, writes: 0, conflicts: 0, reads: 0 }
    }

    /// Takes an update; the caller checks it before.
    pub fn write(&mut self, record: Record) -> WriteOutcome {
        if record.version != self.stored.version + 1 {
            self.conflicts += 1;
            return WriteOutcome::Conflict(self.stored.clone());
        }
        self.writes += 1;
        self.previous = std::mem::replace(&mut self.stored, record);
        WriteOutcome::Accepted
    }
}
