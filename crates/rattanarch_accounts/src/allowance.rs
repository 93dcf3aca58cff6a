//! What a daemon holds for one account.

use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_types::Moment;

use crate::QuotaToken;
use crate::RateLimit;
use crate::static_share::StaticShare;

/// Time constant of the mean rate of requests.
const RATE_TIME_S: f64 = 2.0;

/// Time for whose expected requests tokens are wanted in advance: less than the time for which they are valid, so that
/// most are used.
const SPARE_NEED_S: f64 = 0.7;

/// What a daemon holds for one account.
#[derive(Debug)]
pub(crate) struct Allowance<T> {
    pub(crate) limit: RateLimit,
    /// Unused tokens.
    tokens: Vec<QuotaToken>,
    /// Requests that wait for a grant, with the times when they began.
    pub(crate) waiting: VecDeque<(Moment, T)>,
    /// Until when the coordinator has no token.
    empty_until: Moment,
    /// When there will be a token for a refused request.
    pub(crate) retry_at: Moment,
    /// Mean rate of requests, as of `rated`.
    rate: f64,
    rated: Moment,
    pub(crate) share: StaticShare,
    /// Whether `share` has to be set before it is used.
    pub(crate) share_outdated: bool,
}

impl<T> Allowance<T> {
    pub(crate) fn new(now: Moment, limit: RateLimit) -> Self {
        Self {
            limit,
            tokens: Vec::new(),
            waiting: VecDeque::new(),
            empty_until: Moment::ZERO,
            retry_at: Moment::ZERO,
            rate: 0.0,
            rated: Moment::ZERO,
            share: StaticShare::new(now),
            share_outdated: true,
        }
    }

    /// Counts a request.
    pub(crate) fn count(&mut self, now: Moment) {
        self.rate = self.rate_at(now) + 1.0 / RATE_TIME_S;
        self.rated = now;
    }

    fn rate_at(&self, now: Moment) -> f64 {
        self.rate * (-now.saturating_sub(self.rated).as_secs_f64() / RATE_TIME_S).exp()
    }

    /// Number of tokens wanted in advance, less those that are left; 0 while enough are left or the coordinator has none.
    pub(crate) fn spare_wanted(&mut self, now: Moment) -> u32 {
        if self.is_empty(now) {
            return 0;
        }
        self.tokens.retain(|token| token.is_valid(now));
        let need = (self.rate_at(now) * SPARE_NEED_S) as u32;
        let left = self.tokens.len() as u32;
        if left * 2 > need { 0 } else { need - left }
    }

    /// Adds tokens.
    pub(crate) fn add(&mut self, count: u32, token: QuotaToken) {
        self.tokens.extend((0..count).map(|_| token));
    }

    /// Whether there is a token to take.
    pub(crate) fn has_token(&self, now: Moment) -> bool {
        self.tokens.iter().any(|token| token.is_valid(now))
    }

    /// Takes the token that is valid for the shortest time.
    pub(crate) fn take(&mut self, now: Moment) -> Option<QuotaToken> {
        self.tokens.retain(|token| token.is_valid(now));
        let next = self.tokens.iter().enumerate().min_by_key(|(_, token)| token.expires)?.0;
        Some(self.tokens.swap_remove(next))
    }

    /// Whether the coordinator has no token yet.
    pub(crate) fn is_empty(&self, now: Moment) -> bool {
        now < self.empty_until
    }

    /// Records that the coordinator has no token for `wait`, of which `until_asked` pass before it is asked again.
    pub(crate) fn set_empty(&mut self, now: Moment, wait: Duration, until_asked: Duration) {
        self.empty_until = now + wait.min(until_asked);
        self.retry_at = now + wait;
    }
}
