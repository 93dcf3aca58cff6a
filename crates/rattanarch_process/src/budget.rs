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
    /// By event: usual lines, and those about the sample of whole requests.
    lines: [HashMap<String, u32>; 2],
}

impl Budget {
    /// Whether a line of `event` may be written at `now`.
    pub(crate) fn take(&mut self, now: Moment, line: (&str, bool), level: Level) -> bool {
        if now >= self.began + INTERVAL {
            self.began = now;
            self.lines.iter_mut().for_each(HashMap::clear);
        }
        let most = if level <= Level::Warn { FAILURE_LINES } else { USUAL_LINES };
        let (event, whole) = line;
        let lines = &mut self.lines[usize::from(whole)];
        match lines.get_mut(event) {
            Some(count) => {
                *count += 1;
                *count <= most
            }
            None => {
                lines.insert(event.to_owned(), 1);
                true
            }
        }
    }
}
