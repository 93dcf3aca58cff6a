//! Coordinator of the quotas of groups of accounts.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rattanarch_types::FlowId;
use rattanarch_types::Moment;

use crate::QUOTA_GROUPS;
use crate::QuotaGrant;
use crate::QuotaRequest;
use crate::QuotaRule;
use crate::QuotaShare;
use crate::RateLimit;
use crate::quota_client::GRANT_TIMEOUT;
use crate::token_bucket::Fill;
use crate::token_bucket::SPARE_TIME;
use crate::token_bucket::TokenBucket;

/// How long a daemon is counted after its last request.
pub(crate) const COUNTED_TIME: Duration = Duration::from_secs(2);

/// Time without a call above which the process was paused: another coordinator may have taken over meanwhile.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Maximum number of grants to one daemon that are kept for requests that are sent again. A daemon asks a slow coordinator
/// every 50 ms, and any other every 20 ms, so that up to 30 are not older than [`GRANT_TIMEOUT`].
const MAX_KEPT_GRANTS: usize = 32;

/// Grants tokens of the accounts whose daemons ask this one.
///
/// Designed for 66 daemons, each with a request to each group at least every 0.9 s, and 144 requests a second in a
/// group. It grants at the rate of an account times the fraction of the daemons that it counts, and starts without a
/// burst, so that the coordinators of a group, when there are several, together never grant more than one would.
#[derive(Debug)]
pub struct QuotaCoordinator {
    rule: QuotaRule,
    groups: Vec<Group>,
    /// Number of all daemons.
    daemons: usize,
    last_call: Moment,
}

#[derive(Debug, Default)]
struct Group {
    /// Time of the last request of each daemon that counts.
    heard: HashMap<SocketAddr, Moment>,
    fill: Fill,
    buckets: HashMap<FlowId, TokenBucket>,
    /// Latest grants to each daemon, with their times, so that a request that is sent again takes no further tokens.
    grants: HashMap<SocketAddr, VecDeque<(Moment, QuotaGrant)>>,
}

impl QuotaCoordinator {
    /// A coordinator that has heard nobody.
    pub fn new(rule: QuotaRule, now: Moment) -> Self {
        let groups = (0..QUOTA_GROUPS).map(|_| Group::default()).collect();
        Self { rule, groups, daemons: 1, last_call: now }
    }

    /// Sets the number of all daemons.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Updates the counts; called at least every 100 ms.
    pub fn advance(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.last_call);
        self.last_call = now;
        for group in &mut self.groups {
            if passed > PAUSE_THRESHOLD {
                *group = Group::default();
            }
            group.advance(now, passed, self.daemons);
        }
    }

    /// Handles the request of the daemon at `from`; `limit` returns the limit of an account, if it is known and has one.
    pub fn handle(
        &mut self,
        now: Moment,
        from: SocketAddr,
        request: &QuotaRequest,
        limit: impl Fn(FlowId) -> Option<RateLimit>,
    ) -> QuotaGrant {
        self.advance(now);
        let mut accounts = Vec::new();
        if let Some(group) = self.groups.get_mut(usize::from(request.group)) {
            if request.released {
                group.heard.remove(&from);
            } else if request.settled {
                group.heard.insert(from, now);
            }
            if let Some(grant) = group.kept_grant(from, request.sequence) {
                return grant.clone();
            }
            let shares = request.accounts.iter().filter_map(|want| {
                // Without a share in the reply, daemons use their static shares.
                let limit = limit(want.flow)
                    .filter(|limit| TokenBucket::can_hold_token(*limit, group.fill))?;
                let bucket = group.buckets.entry(want.flow).or_default();
                let want = (*want, request.long_valid);
                let (granted, wait) = bucket.grant(now, want, (&self.rule, limit), group.fill);
                Some(QuotaShare { flow: want.0.flow, granted, wait_ms: wait.as_millis() as u32 })
            });
            accounts = shares.collect();
        }
        let (sequence, long_valid) = (request.sequence, request.long_valid);
        let grant = QuotaGrant { sequence, group: request.group, long_valid, accounts };
        if let Some(group) = self.groups.get_mut(usize::from(request.group))
            && !grant.accounts.is_empty()
        {
            group.keep_grant((now, from), &grant);
        }
        grant
    }

    /// Removes the buckets of accounts that are not `known` any more.
    pub fn retain(&mut self, known: impl Fn(FlowId) -> bool) {
        for group in &mut self.groups {
            group.buckets.retain(|flow, _| known(*flow));
        }
    }

    /// Number of groups that any daemon asks this one about.
    pub fn active_groups(&self) -> usize {
        self.groups.iter().filter(|group| !group.heard.is_empty()).count()
    }
}

impl Group {
    /// The grant for the request `sequence` of the daemon at `from`, if it was sent before.
    fn kept_grant(&self, from: SocketAddr, sequence: u64) -> Option<&QuotaGrant> {
        let mut grants = self.grants.get(&from)?.iter().map(|(_, grant)| grant);
        grants.find(|grant| grant.sequence == sequence)
    }

    fn keep_grant(&mut self, (now, to): (Moment, SocketAddr), grant: &QuotaGrant) {
        let grants = self.grants.entry(to).or_default();
        grants.push_back((now, grant.clone()));
        // Requests are not sent again later.
        let is_old = |(at, _): &(Moment, QuotaGrant)| now >= *at + GRANT_TIMEOUT;
        while grants.len() > MAX_KEPT_GRANTS || grants.front().is_some_and(is_old) {
            grants.pop_front();
        }
    }

    fn advance(&mut self, now: Moment, passed: Duration, daemons: usize) {
        self.heard.retain(|_, at| now < *at + COUNTED_TIME);
        // The tokens of an older grant are not valid any more.
        self.grants.retain(|_, grants| grants.back().is_some_and(|(at, _)| now < *at + SPARE_TIME));
        if self.heard.is_empty() {
            // Another coordinator has taken over, and spends the burst.
            self.buckets.clear();
            self.fill = Fill::default();
            return;
        }
        let fraction = (self.heard.len() as f64 / daemons as f64).min(1.0);
        // The lower fraction of the two: the daemons may have left at any time since the last call.
        self.fill.seconds += passed.as_secs_f64() * fraction.min(self.fill.fraction);
        self.fill.fraction = fraction;
    }
}
