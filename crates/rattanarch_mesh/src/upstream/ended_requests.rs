//! Requests that ended a moment ago.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_types::Moment;

/// How long the id of a request is remembered after its end: its upstream may still make nested calls for it, if its
/// caller disconnected.
pub(crate) const ENDED_REQUEST_TIME: Duration = Duration::from_secs(3);

/// Maximum number of ids: 3 s at 1,300 requests a second, a multiple of what one upstream runs.
const MAX_ENDED_REQUESTS: usize = 4_096;

/// Ids of the requests that ended within [`ENDED_REQUEST_TIME`], the latest [`MAX_ENDED_REQUESTS`] of them.
#[derive(Debug, Default)]
pub(crate) struct EndedRequests {
    /// Ids by the time of their end; an id may be there several times.
    order: VecDeque<(Moment, String)>,
    /// Latest end of each id in `order`.
    ends: HashMap<String, Moment>,
}

impl EndedRequests {
    /// Adds a request that has ended.
    pub(crate) fn add(&mut self, now: Moment, id: &str) {
        self.expire(now);
        self.order.push_back((now, id.to_owned()));
        self.ends.insert(id.to_owned(), now);
    }

    /// Whether the request `id` ended within [`ENDED_REQUEST_TIME`].
    pub(crate) fn contains(&self, now: Moment, id: &str) -> bool {
        self.ends.get(id).is_some_and(|end| now < *end + ENDED_REQUEST_TIME)
    }

    fn expire(&mut self, now: Moment) {
        let is_old = |end: Moment| now >= end + ENDED_REQUEST_TIME;
        while self.order.len() >= MAX_ENDED_REQUESTS
            || self.order.front().is_some_and(|(end, _)| is_old(*end))
        {
            let Some((end, id)) = self.order.pop_front() else { return };
            if self.ends.get(&id) == Some(&end) {
                self.ends.remove(&id);
            }
        }
    }
}
