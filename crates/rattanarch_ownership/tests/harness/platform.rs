//! The simulated platform: one object, changed by conditional updates.

use rattanarch_ownership::WriteOutcome;
use rattanarch_types::Record;

/// The stored record, the end of an outage, and counts of calls.
pub struct Platform {
    pub stored: Record,
    pub previous: Record,
    /// True time until which no call is answered, in microseconds.
    pub down_until: u64,
    pub writes: u64,
    pub conflicts: u64,
    pub reads: u64,
}

impl Platform {
    pub fn new(record: Record) -> Self {
        let previous = record.clone();
        Self { stored: record, previous, down_until: 0, writes: 0, conflicts: 0, reads: 0 }
    }

    /// Applies a conditional update; the caller has checked its content.
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
