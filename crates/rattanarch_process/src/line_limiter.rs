//! Rate limit for the log lines of each event.

use std::collections::HashMap;
use std::time::Duration;

use log::Level;
use rattanarch_types::Moment;

/// Limit for each event that reports a failure or a refusal; enough to find any failed request among a few
/// hundred requests a second.
const FAILURE_LINES_PER_SECOND: u32 = 60;

/// Limit for any other event.
const OTHER_LINES_PER_SECOND: u32 = 20;

/// Time after which counting starts anew.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts lines by event and limits their number in each second.
#[derive(Debug, Default)]
pub(crate) struct LineLimiter {
    window_start: Moment,
    /// Lines by event: those of unsampled requests and other events, then those of sampled requests.
    counts: [HashMap<String, u32>; 2],
}

impl LineLimiter {
    /// Counts one line of an event, given by its name and whether it belongs to a sampled request. Returns
    /// whether the line may be written at `now`.
    pub(crate) fn allow(&mut self, now: Moment, event: (&str, bool), level: Level) -> bool {
        if now >= self.window_start + WINDOW {
            self.window_start = now;
            self.counts.iter_mut().for_each(HashMap::clear);
        }
        let limit =
            if level <= Level::Warn { FAILURE_LINES_PER_SECOND } else { OTHER_LINES_PER_SECOND };
        let (name, sampled) = event;
        let counts = &mut self.counts[usize::from(sampled)];
        match counts.get_mut(name) {
            Some(count) => {
                *count += 1;
                *count <= limit
            }
            None => {
                counts.insert(name.to_owned(), 1);
                true
            }
        }
    }
}
