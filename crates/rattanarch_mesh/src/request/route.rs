//! Route of a request, and the call that is built from its head.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header;
use hyper::http::request::Parts;
use rattanarch_accounts::Account;
use rattanarch_adapter::headers;
use rattanarch_routing::ResponseSize;
use rattanarch_routing::RetryPolicy;
use rattanarch_routing::RouteTable;
use rattanarch_routing::Rule;
use rattanarch_types::Moment;
use rattanarch_types::Rank;
use rattanarch_types::ServiceName;

use crate::connection::HeldBody;
use crate::process::Shared;
use crate::request::Call;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::call::CachedFingerprint;
use crate::request::call::strip_connection_headers;
use crate::request::forward_headers::FLOW;
use crate::request::forward_headers::FORWARD;

/// Rank of a nested call, which an upstream makes for a request that it runs: refusing it would fail a
/// request that already holds a slot.
const NESTED_CALL_RANK: Rank = 0;

/// Why a request has no route.
pub(crate) enum Unrouted {
    /// This process can't route requests of callers now.
    Refused(Refusal),
    /// No route matches in this table.
    NoRoute(Rc<RouteTable>),
}

/// Finds the route of a caller's request for `path` at `host`.
///
/// # Errors
/// The reason why there is none. The request has not run.
pub(crate) fn find_route(
    shared: &Shared,
    host: Option<&str>,
    path: &str,
) -> Result<(Rc<RouteTable>, Rc<Rule>), Unrouted> {
    if !shared.phase.borrow().admits_callers() {
        return Err(Unrouted::Refused(Reason::Stopping.into()));
    }
    let routes = shared.knowledge.borrow().routes_in_force().cloned();
    let routes = routes.ok_or_else(|| Unrouted::Refused(Reason::NoConfiguration.into()))?;
    match host.and_then(|host| routes.find(host, path)) {
        Some(rule) => Ok((routes, rule)),
        None => Err(Unrouted::NoRoute(routes)),
    }
}

/// Time for which the caller of a request with `headers` on the route `rule` waits.
pub(crate) fn caller_timeout(headers: &HeaderMap, rule: &Rule) -> Duration {
    headers::wait_time(headers).unwrap_or(rule.timeout)
}

/// What a call has beside the head of its request and its route.
pub(crate) struct CallSource {
    pub(crate) body: HeldBody,
    /// Service that is chosen among those of the route.
    pub(crate) service: ServiceName,
    /// When the request was received.
    pub(crate) received: Moment,
    /// Time that the caller has spent on earlier attempts.
    pub(crate) spent: Duration,
}

/// Builds the call of a request with the head `parts`, which `account` sends on the route `rule`.
pub(crate) fn build_call(
    shared: &Shared,
    mut parts: Parts,
    (routes, rule, account): (&RouteTable, &Rule, Option<&Account>),
    source: CallSource,
) -> Call {
    let CallSource { body, service, received, spent } = source;
    let timeout = caller_timeout(&parts.headers, rule);
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(FORWARD);
    parts.headers.remove(FLOW);
    parts.headers.remove(header::CONTENT_LENGTH);
    if routes.accounts.is_some() {
        let name = account.map(|account| account.name.as_str());
        headers::replace_account_key(&mut parts.headers, name);
    }
    let id = headers::caller_request_id(&parts.headers).and_then(|id| id.to_str().ok());
    let id = id.unwrap_or_default().to_owned();
    let key = key_of(&parts.headers, &service, routes);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = path.parse().unwrap_or_else(|_| parts.uri.clone());
    let rank = account.and_then(|account| account.priority).unwrap_or(rule.rank);
    Call {
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        service,
        origin_service: shared.settings.service.clone(),
        rank: if is_nested_call(shared, &id) { NESTED_CALL_RANK } else { rank },
        idempotent: rule.retry_policy.is_idempotent(),
        objective: received + rule.target_latency.saturating_sub(spent),
        deadline: received + timeout.min(rule.timeout),
        key,
        version: 0,
        flow: account.map(|account| account.flow),
        size: match rule.retry_policy {
            RetryPolicy::Download => ResponseSize::Large,
            RetryPolicy::Idempotent | RetryPolicy::AtMostOnce => ResponseSize::Small,
        },
        retry: Cell::new(is_nested_in_retry(shared, &id)),
        fingerprint: CachedFingerprint::default(),
        id,
    }
}

/// Whether `call` ends before this process has to exit, if it is stopping.
pub(crate) fn ends_in_time(shared: &Shared, call: &Call) -> bool {
    let grace = shared.bounds.get().grace;
    let phase = *shared.phase.borrow();
    phase.admits_request(grace, call.deadline, is_nested_call(shared, &call.id))
}

/// Whether this daemon's upstream makes the call for a request that it runs.
fn is_nested_call(shared: &Shared, id: &str) -> bool {
    shared.upstream.state.borrow().parent_request(id).is_some()
}

/// Whether this daemon's upstream makes the call for a run that is itself a retry.
fn is_nested_in_retry(shared: &Shared, id: &str) -> bool {
    shared.upstream.state.borrow().parent_request(id).is_some_and(|parent| parent.retry)
}

/// The key that decides which instance of `service` serves a request. Callers also set one on requests
/// to services without keys, where it is ignored.
fn key_of(headers: &HeaderMap, service: &str, routes: &RouteTable) -> Option<u16> {
    let keyed = routes.service(service).is_none_or(|service| service.keyed);
    headers::key(headers).filter(|_| keyed)
}
