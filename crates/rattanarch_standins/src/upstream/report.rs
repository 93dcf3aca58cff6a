//! Health and load reports of the upstream.

use serde::Serialize;

use crate::upstream::ReportMode;

/// Minimum age of the condition in a lagging report, in milliseconds.
const MIN_LAG_MS: u64 = 3_000;

/// Health and load at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Condition {
    pub(crate) warm: bool,
    pub(crate) draining: bool,
    pub(crate) running: usize,
}

/// Response to `GET /control/health`.
#[derive(Debug, Serialize)]
pub(crate) struct Health {
    warm: bool,
    draining: bool,
}

/// Response to `GET /control/load`.
#[derive(Debug, Serialize)]
pub(crate) struct Load {
    running: usize,
    slots: u16,
}

/// Earlier conditions, for lagging reports.
#[derive(Debug, Default)]
pub(crate) struct ReportHistory {
    recorded_at_ms: u64,
    /// Condition at `recorded_at_ms`.
    recorded: Condition,
    /// Condition recorded before, for lagging reports; the default until there are two.
    previous: Condition,
}

impl ReportHistory {
    /// Returns the condition to report at `now`, in milliseconds.
    pub(crate) fn report(&mut self, now: u64, mode: ReportMode, actual: Condition) -> Condition {
        if now >= self.recorded_at_ms + MIN_LAG_MS {
            self.recorded_at_ms = now;
            self.previous = std::mem::replace(&mut self.recorded, actual);
        }
        match mode {
            ReportMode::Honest => actual,
            ReportMode::Lagging => self.previous,
            ReportMode::Misleading => Condition { warm: true, draining: false, running: 0 },
        }
    }
}

impl From<Condition> for Health {
    fn from(condition: Condition) -> Self {
        Self { warm: condition.warm, draining: condition.draining }
    }
}

impl Load {
    pub(crate) fn new(condition: Condition, slots: u16) -> Self {
        Self { running: condition.running, slots }
    }
}
