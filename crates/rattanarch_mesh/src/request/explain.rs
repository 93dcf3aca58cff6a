//! Explains where a request of a caller would be sent now, and why, without sending it.
//!
//! The decisions are those of the functions that requests pass through; no state is changed.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use rattanarch_adapter::headers;
use rattanarch_routing::RouteTable;
use rattanarch_routing::Rule;
use rattanarch_types::ExplainQuery;
use rattanarch_types::ExplainQueryError;
use rattanarch_types::ExplainedAdmission;
use rattanarch_types::ExplainedInstance;
use rattanarch_types::ExplainedLoad;
use rattanarch_types::ExplainedRefusal;
use rattanarch_types::ExplainedRoute;
use rattanarch_types::ExplainedService;
use rattanarch_types::Explanation;
use rattanarch_types::Member;
use rattanarch_types::Record;
use rattanarch_types::ServiceName;
use rattanarch_types::TakenOut;
use rattanarch_types::slice_of;

use crate::connection::HeldBody;
use crate::connection::ResponseBody;
use crate::process::Shared;
use crate::request::Call;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::responses;
use crate::request::route::CallSource;
use crate::request::route::Unrouted;
use crate::request::route::build_call;
use crate::request::route::ends_in_time;
use crate::request::route::find_route;
use crate::request::target;
use crate::request::target::Instances;
use crate::upstream;
use crate::upstream::Preview;
use crate::upstream::UpstreamSnapshot;
use crate::upstream::UpstreamState;

/// Numbers for which the random choice among instances is evaluated. The standard error of a share is up to 5 %; 100
/// choices among 195 candidates take 0.6 ms of a whole core.
const DRAWS: u64 = 100;

/// A request that is to be explained.
#[derive(Clone, Debug)]
struct Query {
    method: Method,
    uri: Uri,
    host: Option<String>,
    headers: HeaderMap,
}

impl TryFrom<ExplainQuery> for Query {
    type Error = ExplainQueryError;

    fn try_from(query: ExplainQuery) -> Result<Self, ExplainQueryError> {
        let method = Method::from_bytes(query.method.as_bytes());
        let method = method.map_err(|_| ExplainQueryError::Method)?;
        let uri = query.path.parse().map_err(|_| ExplainQueryError::Path)?;
        let mut headers = HeaderMap::new();
        for (name, value) in query.headers {
            let name: HeaderName = name.parse().map_err(|_| ExplainQueryError::Header)?;
            let value: HeaderValue = value.parse().map_err(|_| ExplainQueryError::Header)?;
            headers.append(name, value);
        }
        if let Some(key) = query.key {
            headers::set_key(&mut headers, key.parse().map_err(|_| ExplainQueryError::Key)?);
        }
        let header = headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let host = query.host.or_else(|| header.map(str::to_owned));
        Ok(Self { method, uri, host, headers })
    }
}

/// Responds to a request for an explanation, whose query is `query`.
pub(crate) fn explain(shared: &Shared, method: &Method, query: &str) -> Response<ResponseBody> {
    if method != Method::GET {
        return responses::plain(StatusCode::METHOD_NOT_ALLOWED, "only GET".to_owned());
    }
    let query = query.parse().and_then(|query: ExplainQuery| query.try_into());
    match query.and_then(|query| explanation(shared, query)) {
        Ok(explanation) => responses::serialized(&explanation),
        Err(error) => responses::plain(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

fn explanation(shared: &Shared, mut query: Query) -> Result<Explanation, ExplainQueryError> {
    if query.host.is_none() {
        let knowledge = shared.knowledge.borrow();
        if let Some(routes) = knowledge.routes_in_force() {
            query.host = Some(routes.only_host().ok_or(ExplainQueryError::NoHost)?.to_owned());
        }
    }
    let mut explanation = Explanation {
        instance: shared.settings.instance.clone(),
        data_centre: shared.settings.data_centre.clone(),
        method: query.method.to_string(),
        host: query.host.clone().unwrap_or_default(),
        path: query.uri.path().to_owned(),
        configuration: configuration_version(shared),
        taken_out: taken_out(shared),
        ..Explanation::default()
    };
    match find_route(shared, query.host.as_deref(), query.uri.path()) {
        Ok((routes, rule)) => explain_route(shared, (&routes, &rule), &query, &mut explanation),
        Err(Unrouted::Refused(refusal)) => explanation.refusal = Some(refused(shared, refusal)),
        Err(Unrouted::NoRoute(_)) => {
            let (status, reason) = (StatusCode::NOT_FOUND.as_u16(), "no route".to_owned());
            explanation.refusal = Some(ExplainedRefusal { status, reason, retry_after_ms: None });
        }
    }
    Ok(explanation)
}

fn configuration_version(shared: &Shared) -> u64 {
    let knowledge = shared.knowledge.borrow();
    knowledge.routes().map(|routes| routes.version).unwrap_or_default()
}

fn taken_out(shared: &Shared) -> Vec<TakenOut> {
    let now = shared.now();
    let knowledge = shared.knowledge.borrow();
    let evacuated = knowledge.evacuated();
    let taken_out = evacuated.names().map(|name| TakenOut {
        data_centre: name.clone(),
        age_ms: evacuated.since(name).map(|since| millis(now.saturating_sub(since))),
    });
    taken_out.collect()
}

fn explain_route(
    shared: &Shared,
    (routes, rule): (&RouteTable, &Rule),
    query: &Query,
    explanation: &mut Explanation,
) {
    for (service, share) in service_shares(rule) {
        let call = call(shared, (routes, rule), query, service);
        explanation.route = Some(ExplainedRoute {
            name: rule.name.clone(),
            prefix: rule.prefix.clone(),
            rank: call.rank,
            timeout_ms: millis(call.deadline.saturating_sub(shared.now())),
            objective_ms: millis(rule.target_latency),
        });
        if !ends_in_time(shared, &call) {
            explanation.refusal = Some(refused(shared, Reason::Stopping.into()));
            return;
        }
        explanation.services.push(explain_service(shared, &call, share));
    }
    explanation.notes = notes((routes, rule), &explanation.services);
}

/// The services of `rule` with the part of its requests that each gets. Without any weight, requests go to the service
/// without a name, of which there is no instance.
fn service_shares(rule: &Rule) -> Vec<(ServiceName, f64)> {
    let total: u64 = rule.targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return vec![(ServiceName::default(), 1.0)];
    }
    let weighted = rule.targets.iter().filter(|target| target.weight > 0);
    let share = |weight: u32| f64::from(weight) / total as f64;
    weighted.map(|target| (target.service.clone(), share(target.weight))).collect()
}

/// The call that a request would be: the first attempt of a caller, without a body and an account.
fn call(
    shared: &Shared,
    (routes, rule): (&RouteTable, &Rule),
    query: &Query,
    service: ServiceName,
) -> Call {
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = query.method.clone();
    parts.uri = query.uri.clone();
    parts.headers = query.headers.clone();
    let body = HeldBody::default();
    let source = CallSource { body, service, received: shared.now(), spent: Duration::ZERO };
    build_call(shared, parts, (routes, rule, None), source)
}

fn explain_service(shared: &Shared, call: &Call, share: f64) -> ExplainedService {
    let record = shared.knowledge.borrow().record(&call.service).cloned();
    let mut explained = ExplainedService {
        service: call.service.clone(),
        share,
        record: record.as_ref().map(|record| record.version),
        ..ExplainedService::default()
    };
    let Some(record) = record else {
        explained.refusal =
            target::find(shared, call, &[]).err().map(|refusal| refused(shared, refusal));
        return explained;
    };
    if record.slice_count() == 0 {
        explained.instances = candidates(shared, &record, call);
        if explained.instances.iter().all(|instance| instance.share == 0.0) {
            explained.refusal =
                target::find(shared, call, &[]).err().map(|refusal| refused(shared, refusal));
        }
    } else {
        let hash = call.key.map(UpstreamState::hash);
        explained.slice = hash.map(|hash| slice_of(hash, record.slice_count()));
        let owner = hash.and_then(|hash| record.members.get(&record.owner_of(hash)?));
        let found = target::find(shared, call, &[]);
        let share = if found.is_ok() { 1.0 } else { 0.0 };
        explained.instances =
            owner.map(|owner| instance(shared, owner, share)).into_iter().collect();
        explained.refusal = found.err().map(|refusal| refused(shared, refusal));
    }
    if explained.instances.iter().any(|instance| instance.own && instance.share > 0.0) {
        explained.admission = Some(admission(shared, call));
    }
    explained
}

/// The members of a service without keys. The share of each is the part of the fixed numbers for which it is chosen.
fn candidates(shared: &Shared, record: &Record, call: &Call) -> Vec<ExplainedInstance> {
    let instances = Instances::of(shared, record, &[]);
    let chosen = (1..=DRAWS).filter_map(|draw| instances.choose(call.size, draw));
    let chosen: Vec<_> = chosen.map(|(id, _)| id).collect();
    let share = |id| chosen.iter().filter(|chosen| **chosen == id).count() as f64 / DRAWS as f64;
    let considered = instances.considered().map(|(id, member)| instance(shared, member, share(id)));
    let excluded = instances.excluded().map(|(member, exclusion)| ExplainedInstance {
        excluded: Some(exclusion.to_string()),
        ..instance(shared, member, 0.0)
    });
    considered.chain(excluded).collect()
}

fn instance(shared: &Shared, member: &Member, share: f64) -> ExplainedInstance {
    ExplainedInstance {
        instance: member.instance.clone(),
        data_centre: member.data_centre.clone(),
        address: member.caller.to_string(),
        own: target::is_own(shared, member),
        share,
        excluded: None,
        load: load(shared, member),
    }
}

fn load(shared: &Shared, member: &Member) -> ExplainedLoad {
    let candidate = target::candidate(shared, member);
    let reported = shared.peers.known(member.caller).and_then(|peer| peer.report_age(shared.now()));
    let age = if target::is_own(shared, member) { Some(Duration::ZERO) } else { reported };
    ExplainedLoad {
        slots: candidate.slots,
        in_flight: candidate.in_flight,
        mean_ms: Some(millis(candidate.mean_time)).filter(|_| !candidate.mean_time.is_zero()),
        cold: candidate.cold,
        failure_ratio: candidate.failure_ratio,
        age_ms: age.map(millis),
    }
}

/// What would become of `call` at the upstream of this daemon.
fn admission(shared: &Shared, call: &Call) -> ExplainedAdmission {
    let view = UpstreamSnapshot::of(shared);
    let (outcome, held, refusal) = match upstream::preview(shared, call) {
        Preview::Starts => ("starts", None, None),
        Preview::Waits => ("waits", None, None),
        Preview::Held(reason) => ("held", Some(reason.to_string()), None),
        Preview::Refused(refusal) => ("refused", None, Some(refused(shared, refusal))),
    };
    ExplainedAdmission {
        running: view.running,
        waiting: view.waiting,
        slots: view.slots,
        concurrency: view.concurrency,
        cold: shared.upstream.state.borrow().admission.is_cold(shared.now()),
        pace: view.pace.to_string(),
        mean_ms: millis(view.mean),
        outcome: outcome.to_owned(),
        held,
        refusal,
    }
}

fn refused(shared: &Shared, refusal: Refusal) -> ExplainedRefusal {
    let has_schedule = shared.settings.retry_schedule;
    let retry_after = |draw| millis(responses::retry_after(refusal, has_schedule, draw));
    ExplainedRefusal {
        status: responses::refusal_status(refusal).as_u16(),
        reason: refusal.reason.to_string(),
        retry_after_ms: Some((retry_after(0.0), retry_after(1.0))),
    }
}

/// What the explanation of `services` leaves out.
fn notes((routes, rule): (&RouteTable, &Rule), services: &[ExplainedService]) -> Vec<String> {
    let mut notes = Vec::new();
    if routes.accounts.is_some() && !rule.no_auth {
        notes.push(
            "the key and the quota of the client account are not checked; its rank and share are unknown",
        );
    }
    let instances = || services.iter().flat_map(|service| &service.instances);
    if instances().any(|instance| !instance.own && instance.share > 0.0) {
        notes.push("another daemon decides on the admission to its upstream: ask that daemon");
    }
    if instances().any(|instance| instance.share > 0.0 && instance.share < 1.0) {
        notes.push(
            "the choice of the instance is random: the shares are estimates from 100 choices",
        );
    }
    let waits = |refusal: &ExplainedRefusal| {
        refusal.reason.parse().is_ok_and(Reason::may_end_with_newer_record)
    };
    if services.iter().filter_map(|service| service.refusal.as_ref()).any(waits) {
        notes.push("a request first asks for a newer record and waits a moment for it");
    }
    let admissions = services.iter().filter_map(|service| service.admission.as_ref());
    if admissions.into_iter().any(|admission| admission.refusal.is_some()) {
        notes.push("after this refusal the request may be sent to another instance");
    }
    notes.into_iter().map(str::to_owned).collect()
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
