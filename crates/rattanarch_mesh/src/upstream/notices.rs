//! What the upstream's responses say about the upstream itself.

use std::rc::Rc;

use rattanarch_adapter::headers::RateNotice;
use rattanarch_adapter::headers::ResponseHead;

use crate::process::Shared;
use crate::upstream::life::LifeKey;
use crate::upstream::start_waiting;

/// Applies what the head of a response of the life `key` says about the upstream. A response of an earlier life says
/// nothing about the present one.
pub(crate) fn apply_notices(shared: &Rc<Shared>, key: &LifeKey, head: &ResponseHead) {
    let now = shared.now();
    let mut guard = shared.upstream.state.borrow_mut();
    let state = &mut *guard;
    let Some(life) = state.life.as_mut().filter(|life| life.is(key)) else { return };
    life.heard = Some(now);
    let limit = match head.rate {
        RateNotice::Unlimited => None,
        RateNotice::Limited(rate) => Some(rate),
        RateNotice::Malformed => {
            log::warn!(life:% = life.id; "upstream rate limit malformed");
            life.rate_limit
        }
    };
    if limit != life.rate_limit {
        let before = std::mem::replace(&mut life.rate_limit, limit);
        state.admission.set_rate_limit(now, limit);
        log::info!(life:% = life.id, per_s:? = limit, before_per_s:? = before;
            "upstream rate limit changed");
        drop(guard);
        start_waiting(shared);
    }
}
