//! What the upstream's responses say about the upstream itself.

use std::rc::Rc;

use rattanarch_adapter::headers::RateNotice;
use rattanarch_adapter::headers::ResponseHead;
use rattanarch_types::Moment;

use crate::control;
use crate::process::Shared;
use crate::upstream::life::LeavingSource;
use crate::upstream::life::Life;
use crate::upstream::life::LifeKey;
use crate::upstream::pace;
use crate::upstream::start_waiting;

/// Mark of a response whose upstream says in it that it is leaving.
#[derive(Clone, Debug)]
pub(crate) struct FromLeaving(pub(crate) LifeKey);

/// Applies what the head of a response of the life `key` says about the upstream. A response of an earlier life says
/// nothing about the present one.
pub(crate) fn apply_notices(shared: &Rc<Shared>, key: &LifeKey, head: &ResponseHead) {
    let now = shared.now();
    let cold_rate = pace::cold_rate(shared);
    let mut guard = shared.upstream.state.borrow_mut();
    let state = &mut *guard;
    let Some(life) = state.life.as_mut().filter(|life| life.has_key(key)) else { return };
    life.heard = Some(now);
    let limit = stated_limit(life, head.rate);
    let before = std::mem::replace(&mut life.rate_limit, limit);
    let is_changed = limit != before;
    if is_changed {
        log::info!(life:% = life.id, per_s:? = limit, before_per_s:? = before;
            "upstream rate limit changed");
        state.admission.set_rate_limit(now, limit);
    }
    let cold = head.cold_time_left.filter(|left| !left.is_zero());
    let cold = cold.filter(|_| state.admission.has_adaptive_pace());
    if let Some(left) = cold {
        state.admission.set_cold(now, left, cold_rate);
        pace::report_changes(shared, state);
    }
    drop(guard);
    if is_changed || cold.is_some() {
        start_waiting(shared);
    }
    if head.leaving {
        learn_leaving(shared, &key.to_string(), now, LeavingSource::Response);
    }
}

/// The limit of `life` after a response with the notice `rate`.
fn stated_limit(life: &Life, rate: RateNotice) -> Option<f64> {
    match rate {
        RateNotice::Unlimited => None,
        RateNotice::Limited(rate) => Some(rate),
        RateNotice::Malformed => {
            log::warn!(life:% = life.id; "upstream rate limit malformed");
            life.rate_limit
        }
    }
}

/// Records that the life with the key `key`, in its written form, has been leaving since `since`, if it is the present
/// one.
pub(crate) fn learn_leaving(shared: &Rc<Shared>, key: &str, since: Moment, source: LeavingSource) {
    let mut state = shared.upstream.state.borrow_mut();
    let life = state.life.as_mut().filter(|life| life.key().to_string() == key);
    let is_news = life.is_some_and(|life| life.leave(since, source));
    drop(state);
    if is_news {
        control::maintain(shared);
        shared.state_changed.notify_waiters();
    }
}
