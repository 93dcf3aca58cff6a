//! When a daemon fetches records from its peers.

use std::time::Duration;

use rattanarch_types::Moment;

/// Interval between fetches of record changes that do not affect this daemon: each fetch crosses data centres, and
/// members that join or give away slices cause many changes.
const FETCH_INTERVAL: Duration = Duration::from_secs(3);

/// Minimum interval between queries to peers for requests whose key has no known owner: shorter than the delay after
/// which callers are told to retry, and at most a few datagrams a second.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time that a request waits for a record that names the owner of its key, if the known record names none or
/// one that has given the slice away. Covers a query to a peer and a fetch: a few round trips between machines.
pub const MAX_RECORD_WAIT: Duration = Duration::from_millis(150);

/// Decides when to query peers for, and fetch, newer records that do not affect this daemon's own slices.
#[derive(Debug, Default)]
pub struct RecordFetchPolicy {
    /// Time of the last such fetch.
    fetched: Option<Moment>,
    /// Time of the last query to peers on behalf of a request.
    queried: Option<Moment>,
    /// Whether a request has found no owner since the last fetch.
    owner_missing: bool,
}

impl RecordFetchPolicy {
    /// Called when a request finds no owner in the known records; returns whether to query peers for newer records
    /// now.
    pub fn owner_missing(&mut self, now: Moment) -> bool {
        self.owner_missing = true;
        let due = self.queried.is_none_or(|queried| now >= queried + QUERY_INTERVAL);
        if due {
            self.queried = Some(now);
        }
        due
    }

    /// How much longer a request without an owner may wait for peers' responses; zero once [`MAX_RECORD_WAIT`] has
    /// passed since the last query.
    pub fn remaining_wait(&self, now: Moment) -> Duration {
        self.queried
            .map(|queried| (queried + MAX_RECORD_WAIT).saturating_sub(now))
            .unwrap_or_default()
    }

    /// Whether to fetch a newer record that a peer has announced; `has_unowned` tells that a known record has slices
    /// without an owner.
    pub fn should_fetch(&mut self, now: Moment, has_unowned: bool) -> bool {
        let due = self.owner_missing
            || has_unowned
            || self.fetched.is_none_or(|fetched| now >= fetched + FETCH_INTERVAL);
        if due {
            self.fetched = Some(now);
            self.owner_missing = false;
        }
        due
    }
}
