//! Health checks of the upstream, for what it says about itself while no other response does.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::header;
use hyper::header::HeaderValue;
use rattanarch_adapter::headers;
use rattanarch_adapter::headers::ResponseHead;
use rattanarch_types::Moment;

use crate::connection::Checkout;
use crate::connection::RequestBody;
use crate::connection::within;
use crate::process::Shared;
use crate::upstream::life::Life;
use crate::upstream::life::LifeKey;
use crate::upstream::notices::apply_notices;
use crate::upstream::pace;

/// Time without a response after which an upstream with a rate limit is checked. While its limit lets nothing through,
/// nothing else would tell that the limit has changed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that a check may take. An upstream may have a check wait for a slot.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for which requests wait for the first response of a life.
const MAX_HOLD: Duration = Duration::from_millis(500);

/// Largest body of a response that is read, in bytes.
const MAX_BODY: usize = 64 << 10;

/// Whether requests have to wait, since nothing is known yet of what this life of the upstream says about itself: the
/// process may have started beside an upstream that has a rate limit or is leaving.
pub(crate) fn awaits_first_response(shared: &Shared) -> bool {
    let state = shared.upstream.state.borrow();
    let Some(life) = &state.life else { return false };
    life.heard.is_none() && shared.now() < life.began + MAX_HOLD && may_check(shared)
}

/// Whether the upstream can be checked, as far as the configuration is known.
fn may_check(shared: &Shared) -> bool {
    let knowledge = shared.knowledge.borrow();
    let service = &shared.settings.service;
    let spec = knowledge.routes().and_then(|routes| routes.service(service));
    knowledge.routes().is_none() || spec.is_some_and(|spec| spec.health_path.is_some())
}

/// Starts a check if one is due: at the start of a life, each second without a response while a rate limit is in force,
/// and each second while slow responses suggest that the upstream has become cold.
pub(crate) fn check_if_due(shared: &Rc<Shared>) {
    let now = shared.now();
    let service = &shared.settings.service;
    let path = shared.knowledge.borrow().routes().and_then(|routes| {
        let spec = routes.service(service);
        spec.and_then(|spec| spec.health_path.clone())
    });
    let Some(path) = path else { return };
    let has_cold_rate = pace::cold_rate(shared).is_finite();
    let mut state = shared.upstream.state.borrow_mut();
    let may_be_cold = has_cold_rate && state.admission.suspects_cold();
    let Some(life) = state.life.as_mut().filter(|life| is_due(life, now, may_be_cold)) else {
        return;
    };
    life.checked = Some(now);
    let key = life.key();
    drop(state);
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        if within(CHECK_TIMEOUT, check(&shared, &path, &key)).await.is_none() {
            log::info!(life:% = key.id; "upstream health check timed out");
        }
        shared.state_changed.notify_waiters();
    });
}

fn is_due(life: &Life, now: Moment, may_be_cold: bool) -> bool {
    let is_recent = |at: Option<Moment>| at.is_some_and(|at| now < at + CHECK_INTERVAL);
    let is_first = life.heard.is_none() && life.checked.is_none();
    let is_overdue =
        life.rate_limit.is_some() && !is_recent(life.heard) && !is_recent(life.checked);
    let is_suspect = may_be_cold && !is_recent(life.checked);
    life.refused.is_none() && (is_first || is_overdue || is_suspect)
}

/// Sends a health check and applies what the response says about the life `key` of the upstream.
async fn check(shared: &Rc<Shared>, path: &str, key: &LifeKey) {
    let failed = |reason: &dyn std::fmt::Display| {
        log::info!(life:% = key.id, reason:% = reason; "upstream health check failed");
    };
    let request = match request(shared, path) {
        Ok(request) => request,
        Err(error) => return failed(&error),
    };
    // A late response to an earlier request may arrive on a reused connection.
    let mut connection = match shared.upstream.pool.checkout(Checkout::Fresh).await {
        Ok(connection) => connection,
        Err(error) => return failed(&error),
    };
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(error) => return failed(&error),
    };
    let (parts, body) = response.into_parts();
    if !headers::is_from_life(&parts.headers, &key.id) {
        return failed(&"another life of the upstream answered");
    }
    apply_notices(shared, key, &ResponseHead::read(parts.status.as_u16(), &parts.headers));
    match Limited::new(body, MAX_BODY).collect().await {
        Ok(_) => shared.upstream.pool.put_back(connection),
        Err(error) => failed(&error),
    }
}

fn request(shared: &Shared, path: &str) -> Result<Request<RequestBody>, hyper::http::Error> {
    let host = HeaderValue::from_str(&shared.settings.upstream.to_string())?;
    Request::get(path).header(header::HOST, host).body(RequestBody::default())
}
