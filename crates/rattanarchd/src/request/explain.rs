//! Explains where a request of a caller would be sent now, and why, without sending it.
//!
//! The decisions are those of the functions that requests pass through; no state is changed.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::Request;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use rand_core::SeedableRng;
use rattanarch_ownership::Refusal;
use rattanarch_types::BootId;
use rattanarch_types::ExplainQuery;
use rattanarch_types::ExplainQueryError;
use rattanarch_types::ExplainedAdmission;
use rattanarch_types::ExplainedInstance;
use rattanarch_types::ExplainedLoad;
use rattanarch_types::ExplainedRefusal;
use rattanarch_types::ExplainedRoute;
use rattanarch_types::ExplainedService;
use rattanarch_types::Explanation;
use rattanarch_types::KeyHash;
use rattanarch_types::KeySource;
use rattanarch_types::Member;
use rattanarch_types::Standing;
use rattanarch_types::TakenOut;
use rattanarch_types::slice_of;

use crate::request::RequestError;
use crate::request::RequestHandler;
use crate::request::admission::PreviewOutcome;
use crate::request::handler::Head;
use crate::request::headers;
use crate::request::member_selector::exclusion;
use crate::version::View;

/// Pairs of numbers for which the random choice among members is evaluated. The standard error of a share is up to 5 %.
const DRAWS: usize = 100;

impl RequestHandler {
    /// Explains where the request that `query` describes would be sent now.
    ///
    /// # Errors
    /// If `query` is malformed.
    pub fn explain(&self, query: ExplainQuery) -> Result<Explanation, ExplainQueryError> {
        let view = self.views.current();
        let has_key = query.key.is_some();
        let mut explanation = Explanation {
            instance: self.settings.instance.clone(),
            data_centre: own_member(&view).map(|own| own.data_centre.clone()).unwrap_or_default(),
            method: query.method.clone(),
            host: query.host.clone().unwrap_or_default(),
            configuration: view.configuration.version,
            taken_out: taken_out(&view),
            ..Explanation::default()
        };
        let parts = parts(query)?;
        explanation.path = parts.uri.path().to_owned();
        let head = match self.read_head(&parts, &view) {
            Ok(head) => head,
            Err(error) => {
                explanation.refusal = Some(refused(&error));
                return Ok(explanation);
            }
        };
        let route = head.target.route(&head.service).ok();
        explanation.route = route.map(|route| ExplainedRoute {
            name: String::new(),
            prefix: route.prefix.clone(),
            rank: head.priority.into(),
            timeout_ms: millis(head.timeout),
            objective_ms: 0,
        });
        explanation.services.push(self.explain_service(&view, &head));
        explanation.notes = notes(&explanation.services[0], &parts);
        if has_key && route.is_some_and(|route| route.key != KeySource::Header) {
            explanation.notes.push("the key of this route is in the path".to_owned());
        }
        Ok(explanation)
    }

    fn explain_service(&self, view: &View, head: &Head<'_>) -> ExplainedService {
        let record = &view.serving.record;
        let hash = head.key.as_ref().map(|key| key.hash);
        let mut explained = ExplainedService {
            service: self.settings.service.clone(),
            share: 1.0,
            record: Some(record.version),
            slice: hash.map(|hash| slice_of(hash, record.slice_count())),
            ..ExplainedService::default()
        };
        match hash {
            Some(hash) => self.explain_owner(view, head, hash, &mut explained),
            None => self.explain_choice(view, head, &mut explained),
        }
        explained
    }

    /// Explains a request for the key with `hash`, which runs at the key's owner.
    fn explain_owner(
        &self,
        view: &View,
        head: &Head<'_>,
        hash: KeyHash,
        explained: &mut ExplainedService,
    ) {
        let owner = view.serving.record.owner_of(hash);
        let checked = self.check_ownership(Some(hash));
        let elsewhere = |error: &RequestError| {
            matches!(error, RequestError::Refused { refusal: Refusal::Elsewhere(_), .. })
        };
        let is_sent = checked.as_ref().err().is_none_or(elsewhere);
        let share = if is_sent { 1.0 } else { 0.0 };
        let owner = owner.and_then(|id| Some((id, view.serving.record.members.get(&id)?)));
        explained.instances =
            owner.map(|(id, owner)| instance(view, id, owner, share)).into_iter().collect();
        match checked {
            Ok(_) => explained.admission = Some(self.explain_admission(head)),
            Err(error) if !elsewhere(&error) => explained.refusal = Some(refused(&error)),
            Err(_) => {}
        }
    }

    /// Explains a request without a key, which runs at one of the eligible members.
    fn explain_choice(&self, view: &View, head: &Head<'_>, explained: &mut ExplainedService) {
        let record = &view.serving.record;
        let mut random = ChaCha8Rng::seed_from_u64(0);
        let draws: Vec<[u64; 2]> =
            (0..DRAWS).map(|_| [random.next_u64(), random.next_u64()]).collect();
        let previews = self.selector.preview(view, &draws);
        for (id, member) in &record.members {
            let preview = previews.iter().find(|preview| preview.member_id == *id);
            let share = preview.map_or(0.0, |preview| preview.count as f64 / DRAWS as f64);
            let mut instance = instance(view, *id, member, share);
            instance.excluded = exclusion(view, *id, member).map(str::to_owned);
            if let Some(preview) = preview {
                instance.load.in_flight = preview.running;
                instance.load.mean_ms =
                    Some(millis(preview.mean)).filter(|_| !preview.mean.is_zero());
            }
            explained.instances.push(instance);
        }
        if explained.instances.iter().all(|instance| instance.share == 0.0) {
            explained.refusal = Some(refused(&self.no_instance()));
        }
        if explained.instances.iter().any(|instance| instance.own && instance.share > 0.0) {
            explained.admission = Some(self.explain_admission(head));
        }
    }

    /// What would become of the request at the upstream beside this daemon.
    fn explain_admission(&self, head: &Head<'_>) -> ExplainedAdmission {
        let preview = self.admission.preview(head.priority, Instant::now() + head.timeout);
        let (outcome, refusal) = match preview.outcome {
            PreviewOutcome::Starts => ("starts", None),
            PreviewOutcome::Waits => ("waits", None),
            PreviewOutcome::Shed(retry_after) => {
                ("refused", Some(refused(&RequestError::Overloaded { retry_after })))
            }
        };
        ExplainedAdmission {
            running: preview.running,
            waiting: preview.waiting,
            slots: self.settings.slots.into(),
            concurrency: preview.limit,
            cold: !preview.warm,
            pace: if preview.warm { "warm" } else { "cold" }.to_owned(),
            mean_ms: millis(preview.mean),
            outcome: outcome.to_owned(),
            held: None,
            refusal,
        }
    }
}

/// The head of the request that `query` describes.
fn parts(query: ExplainQuery) -> Result<Parts, ExplainQueryError> {
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method =
        Method::from_bytes(query.method.as_bytes()).map_err(|_| ExplainQueryError::Method)?;
    parts.uri = query.path.parse().map_err(|_| ExplainQueryError::Path)?;
    for (name, value) in query.headers {
        let name: HeaderName = name.parse().map_err(|_| ExplainQueryError::Header)?;
        let value: HeaderValue = value.parse().map_err(|_| ExplainQueryError::Header)?;
        parts.headers.append(name, value);
    }
    if let Some(key) = query.key {
        let value = HeaderValue::from_bytes(key.as_bytes());
        parts.headers.insert(headers::KEY, value.map_err(|_| ExplainQueryError::Header)?);
    }
    Ok(parts)
}

fn own_member(view: &View) -> Option<&Member> {
    view.serving.record.members.get(&view.serving.me)
}

fn taken_out(view: &View) -> Vec<TakenOut> {
    let data_centres = view.configuration.data_centres.iter();
    let out = data_centres.filter(|(_, data_centre)| data_centre.standing == Standing::Out);
    out.map(|(name, _)| TakenOut { data_centre: name.clone(), age_ms: None }).collect()
}

fn instance(view: &View, id: BootId, member: &Member, share: f64) -> ExplainedInstance {
    ExplainedInstance {
        instance: member.instance.clone(),
        data_centre: member.data_centre.clone(),
        address: member.caller.to_string(),
        own: id == view.serving.me,
        share,
        excluded: None,
        load: ExplainedLoad { slots: member.slots.into(), ..ExplainedLoad::default() },
    }
}

fn refused(error: &RequestError) -> ExplainedRefusal {
    ExplainedRefusal {
        status: error.status().as_u16(),
        reason: error.to_string(),
        retry_after_ms: error.retry_after().map(|delay| (millis(delay), millis(delay))),
    }
}

/// What the explanation of `service` leaves out.
fn notes(service: &ExplainedService, parts: &Parts) -> Vec<String> {
    let mut notes = Vec::new();
    let instances = || service.instances.iter();
    if instances().any(|instance| !instance.own && instance.share > 0.0) {
        notes.push("another daemon decides on the admission to its upstream: ask that daemon");
    }
    if instances().any(|instance| instance.share > 0.0 && instance.share < 1.0) {
        notes.push(
            "the choice of the instance is random: the shares are estimates from 100 choices",
        );
    }
    if parts.headers.contains_key(headers::IDEMPOTENCY_KEY) {
        notes.push("responses that are kept for the idempotency key are not considered");
    }
    notes.into_iter().map(str::to_owned).collect()
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
