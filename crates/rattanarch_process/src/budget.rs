//! Bound on the lines of each event.

use std::collections::HashMap;
use std::time::Duration;

use log::Level;
use rattanarch_types::Moment;

/// Lines a second of one event that tells of a failure or a refusal: enough to find any failed
/// request among a few hundred requests a second.
const FAILURE_LINES: u32 = 60;

/// Lines a second of any other event.
const USUAL_LINES: u32 = 20;

/// Interval that lines are counted in.
const INTERVAL: Duration = Duration::from_secs(1);

/// Counts lines by event, and lets so many through in each second.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    began: Moment,
    lines: HashMap<String, u32>,
}

impl Budget {
    /// Whether a line of `event` may be written at `now`.
    pub(crate) fn take(&mut self, now: Moment, event: &str, level: Level) -> bool {
        if now >= self.began + INTERVAL {
            self.began = now;
            self.lines.clear();
        }
        let most = if level <= Level::Warn { FAILURE_LINES } else { USUAL_LINES };
        match self.lines.get_mut(event) {
            Some(count) => {
                *count += 1;
                *count <= most
            }
            None => {
                self.lines.insert(event.to_owned(), 1);
                true
            }
        }
    }
}
