//! Health and load as the upstream tells them.

use serde::Serialize;

use crate::upstream::ReportMode;

/// Age of a lagging report, in milliseconds.
const LAG_MS: u64 = 3_000;

/// What there is to report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Condition {
    pub(crate) warm: bool,
    pub(crate) draining: bool,
    pub(crate) running: usize,
}

/// Answer of `GET /control/health`.
#[derive(Debug, Serialize)]
pub(crate) struct Health {
    warm: bool,
    draining: bool,
}

/// Answer of `GET /control/load`.
#[derive(Debug, Serialize)]
pub(crate) struct Load {
    running: usize,
    slots: u16,
}

/// Answers of the past, for reports that lag.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    taken: u64,
    latest: Condition,
    lagging: Condition,
}

impl Reports {
    /// The condition as reported at `now`, in milliseconds.
    pub(crate) fn report(&mut self, now: u64, reporting: ReportMode, is: Condition) -> Condition {
        if now >= self.taken + LAG_MS {
            self.taken = now;
            self.lagging = std::mem::replace(&mut self.latest, is);
        }
        match reporting {
            ReportMode::Honest => is,
            ReportMode::Lagging => self.lagging,
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
