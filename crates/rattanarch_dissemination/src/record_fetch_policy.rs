//! When a daemon fetches records from its peers.

use std::time::Duration;

use rattanarch_types::Moment;

/// Time in which changes of records are gathered that do not concern this daemon: each fetch crosses data centres,
/// and members that join or are relieved make many.
const GATHER: Duration = Duration::from_secs(3);

/// Time between two questions to peers on behalf of requests that have no owner to go to: shorter than callers are
/// told to wait, and a few datagrams a second at most.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait of a request for the record that names the owner of its key, where the known one names none or one
/// that has given it away: a question to a peer and a fetch, a few round trips between machines.
pub const MAX_RECORD_WAIT: Duration = Duration::from_millis(150);

/// How much this daemon needs records that its peers may have and that do not concern its own part in them.
#[derive(Debug, Default)]
pub struct RecordFetchPolicy {
    /// When such records were last fetched.
    fetched: Option<Moment>,
    /// When peers were last asked on behalf of a request.
    asked: Option<Moment>,
    /// Whether a request has found no owner since the last fetch.
    wanted: bool,
}

impl RecordFetchPolicy {
    /// Notes at `now` that a request has found no owner by the known records; returns whether to ask peers for
    /// newer ones.
    pub fn owner_missing(&mut self, now: Moment) -> bool {
        self.wanted = true;
        let due = self.asked.is_none_or(|asked| now >= asked + ASK_INTERVAL);
        if due {
            self.asked = Some(now);
        }
        due
    }

    /// How long after `now` a request without an owner may wait for what peers answer; zero once they have had
    /// their time.
    pub fn remaining_wait(&self, now: Moment) -> Duration {
        self.asked.map(|asked| (asked + MAX_RECORD_WAIT).saturating_sub(now)).unwrap_or_default()
    }

    /// Whether a newer record that a peer has told of is fetched at `now`; `lacking` says that a known one has
    /// slices without an owner.
    pub fn should_fetch(&mut self, now: Moment, lacking: bool) -> bool {
        let due =
            self.wanted || lacking || self.fetched.is_none_or(|fetched| now >= fetched + GATHER);
        if due {
            self.fetched = Some(now);
            self.wanted = false;
        }
        due
    }
}
