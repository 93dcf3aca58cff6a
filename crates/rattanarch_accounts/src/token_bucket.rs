//! Bucket of an account at its coordinator.

use std::time::Duration;

use rattanarch_types::Moment;

use crate::QuotaRule;
use crate::QuotaWant;
use crate::RateLimit;

/// How long a token granted in advance is valid.
pub(crate) const SPARE_TIME: Duration = Duration::from_secs(1);

/// How long a token for a request that waits is valid if replies take long: as long as the request waits.
pub(crate) const LONG_TOKEN_TIME: Duration = Duration::from_millis(600);

/// Part of the level that one request may take in advance, so that the others find tokens too.
const SPARE_LEVEL_RATIO: f64 = 0.25;

/// Part of the burst that may be granted in advance in addition to [`QuotaRule::spare`]. The bucket then holds less by
/// as much, which costs nothing while the account stays below its rate.
const SPARE_CAP_RATIO: f64 = 0.25;

/// Fraction of the daemons from which on a bucket holds at least one token, also if the burst is lower: of all coordinators
/// of a group, two at most count so many.
const MIN_TOKEN_FRACTION: f64 = 0.5;

/// Longest wait that is told: callers do not honour a longer one.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(1);

/// Fraction of all daemons that a coordinator counts, and its integral over time in seconds, by which buckets fill.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fill {
    pub(crate) fraction: f64,
    pub(crate) seconds: f64,
}

/// Bucket of an account at its coordinator.
#[derive(Debug, Default)]
pub(crate) struct TokenBucket {
    /// Tokens. Together with those in `spare` they are at most the fraction of the burst (see [`MIN_TOKEN_FRACTION`]) and of
    /// [`QuotaRule::spare`], so that no more can run at once.
    level: f64,
    /// [`Fill::seconds`] up to which the bucket was filled; 0 at first, so that it holds what it would have got since the
    /// coordinator took over.
    filled: f64,
    /// Numbers of tokens that may be unused, with the ends of their validity: those in advance, and those for requests
    /// whose replies take long.
    spare: Vec<(Moment, u32)>,
    /// When there is a token for the next request that gets none.
    next_free: Moment,
}

impl TokenBucket {
    /// Whether a bucket of `limit` can ever hold a token.
    pub(crate) fn can_hold_token(limit: RateLimit, fill: Fill) -> bool {
        fill.fraction >= MIN_TOKEN_FRACTION || limit.burst() * fill.fraction >= 1.0
    }

    /// Grants what `want` asks for as far as there are tokens; returns the number, and the wait for the first request
    /// that gets none. With `long_valid`, tokens for requests that wait count as unused for [`LONG_TOKEN_TIME`], as
    /// those in advance do for [`SPARE_TIME`].
    pub(crate) fn grant(
        &mut self,
        now: Moment,
        (want, long_valid): (QuotaWant, bool),
        (rule, limit): (&QuotaRule, RateLimit),
        fill: Fill,
    ) -> (u32, Duration) {
        let burst = limit.burst() * fill.fraction;
        let spare = rule.spare(limit) * fill.fraction;
        let excess = (self.unused_spare(now) - spare).max(0.0);
        let min = if fill.fraction >= MIN_TOKEN_FRACTION { 1.0 } else { 0.0 };
        let cap = (burst - excess).max(min);
        self.level = (self.level + limit.rate() * (fill.seconds - self.filled)).min(cap);
        self.filled = fill.seconds;
        let mut granted = want.waiting.min(self.level as u32);
        let mut earliest = now;
        if long_valid {
            // Binding only for a bucket that holds one token at least: its level is not reduced by unused tokens.
            let room = (burst + spare - self.unused_spare(now)).max(0.0) as u32;
            let is_limited = room < granted;
            granted = granted.min(room);
            self.add_unused(now + LONG_TOKEN_TIME, granted);
            if is_limited {
                // There is no room until one of the unused tokens ends, whatever the level.
                earliest = self.spare.iter().map(|(until, _)| *until).min().unwrap_or(now);
            }
        }
        self.level -= f64::from(granted);
        let missing = want.waiting - granted;
        if missing > 0 {
            return (granted, self.wait(now, (missing, earliest), limit.rate() * fill.fraction));
        }
        let spare = self.take_spare(now, want.spare, spare + burst * SPARE_CAP_RATIO);
        (granted + spare, Duration::ZERO)
    }

    fn take_spare(&mut self, now: Moment, wanted: u32, bound: f64) -> u32 {
        let room = (bound - self.unused_spare(now)).max(0.0) as u32;
        let spare = wanted.min((self.level * SPARE_LEVEL_RATIO) as u32).min(room);
        self.level -= f64::from(spare);
        self.add_unused(now + SPARE_TIME, spare);
        spare
    }

    fn add_unused(&mut self, until: Moment, count: u32) {
        if count > 0 {
            self.spare.push((until, count));
        }
    }

    /// Most tokens of those in `spare` that may be unused.
    fn unused_spare(&mut self, now: Moment) -> f64 {
        self.spare.retain(|(until, _)| now <= *until);
        f64::from(self.spare.iter().map(|(_, count)| count).sum::<u32>())
    }

    /// Time until there is a token for the next request that gets none, not before `earliest`; each of `missing` requests
    /// is told a later one.
    fn wait(&mut self, now: Moment, (missing, earliest): (u32, Moment), rate: f64) -> Duration {
        let time = |tokens: f64| {
            Duration::try_from_secs_f64(tokens / rate).unwrap_or(MAX_WAIT).min(MAX_WAIT)
        };
        // The level is 1 or more where unused tokens limit the grant.
        let free = self.next_free.max(now + time((1.0 - self.level).max(0.0))).max(earliest);
        self.next_free = (free + time(f64::from(missing))).min(now + MAX_WAIT);
        free.saturating_sub(now)
    }
}
