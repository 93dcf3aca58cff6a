//! Handler of requests from the callers on this machine.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use rattanarch_accounts::Account;
use rattanarch_adapter::headers;
use rattanarch_process::random;
use rattanarch_routing::RouteTable;
use rattanarch_routing::Rule;
use rattanarch_types::Moment;

use crate::connection::Handler;
use crate::connection::HeldBody;
use crate::connection::LimitEvent;
use crate::connection::Listener;
use crate::connection::ReadError;
use crate::connection::ResponseBody;
use crate::process::Phase;
use crate::process::Shared;
use crate::request::Call;
use crate::request::Decision;
use crate::request::Failure;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::RequestTrace;
use crate::request::account_request::AccountRequest;
use crate::request::attempts::Attempts;
use crate::request::authentication::Rejection;
use crate::request::authentication::authenticate;
use crate::request::caller_timeouts::CallerTimeouts;
use crate::request::responses;
use crate::request::retry_shares::RetryShares;
use crate::request::route::CallSource;
use crate::request::route::Unrouted;
use crate::request::route::build_call;
use crate::request::route::caller_timeout;
use crate::request::route::ends_in_time;
use crate::request::route::find_route;

/// Time that pending requests still get once the process closes by force, which begins 0.4 s before
/// the end of its grace time; it exits 0.25 s later.
const CLOSING_TIMEOUT: Duration = Duration::from_millis(100);

/// Handles the requests of the callers on this machine.
pub(crate) struct Outbound {
    pub(crate) shared: Rc<Shared>,
    pub(crate) shares: RetryShares,
    timeouts: CallerTimeouts,
}

impl Outbound {
    pub(crate) fn new(shared: Rc<Shared>) -> Self {
        let shares = RetryShares::new(Rc::clone(&shared));
        Self { shared, shares, timeouts: CallerTimeouts::default() }
    }
}

impl Handler for Outbound {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let _active = self.shared.active_requests.begin();
        let received = self.shared.now();
        let id = headers::caller_request_id(request.headers()).and_then(|id| id.to_str().ok());
        let trace = RequestTrace::new(&self.shared, id.unwrap_or_default(), "caller");
        let host = host(&request);
        let (routes, rule) = match find_route(&self.shared, host.as_deref(), request.uri().path()) {
            Ok(found) => found,
            Err(Unrouted::Refused(refusal)) => {
                return unread(request, finish(&trace, Outcome::Refused(refusal)));
            }
            Err(Unrouted::NoRoute(routes)) => {
                let response = no_route(&trace, &request, &routes);
                return unread(request, response);
            }
        };
        trace.set_route(&rule.name);
        let account = match self.account(&request, &rule, &routes) {
            Ok(account) => account,
            Err(rejection) => return unread(request, self.rejected(&trace, rejection)),
        };
        let account = account.as_deref();
        if let Err(refusal) = AccountRequest::check(&self.shared, account, &trace) {
            return unread(request, finish(&trace, Outcome::Refused(refusal)));
        }
        if let Some(response) = self.announced_too_long(&request, &routes) {
            return unread(request, finish(&trace, Outcome::Answered(response)));
        }
        let call = match self.read(request, (&rule, account), received, &routes).await {
            Ok(call) => Rc::new(call),
            Err(response) => return finish(&trace, Outcome::Answered(response)),
        };
        let admission = AccountRequest::admit(&self.shared, account, call.deadline, &trace).await;
        let admitted = match admission {
            Ok(admitted) => admitted,
            Err(refusal) => return finish(&trace, Outcome::Refused(refusal)),
        };
        let outcome = self.run(&call, &rule, &trace).await;
        admitted.end(&outcome);
        finish(&trace, outcome)
    }
}

fn finish(trace: &RequestTrace, outcome: Outcome) -> Response<ResponseBody> {
    trace.finish(&outcome);
    match outcome {
        Outcome::Answered(response) => response,
        Outcome::Refused(refusal) => responses::refused(refusal, trace.settings().retry_schedule),
        Outcome::Failed(failure) => responses::failed(&failure),
    }
}

/// The response to `request`, whose body has not been read and is discarded.
fn unread(request: Request<Incoming>, response: Response<ResponseBody>) -> Response<ResponseBody> {
    // Reading would ask a caller that waits for the status to send its body.
    if request.body().is_end_stream() || request.headers().contains_key(header::EXPECT) {
        return response;
    }
    response.map(|body| body.with_unread(request.into_body()))
}

fn no_route(
    trace: &RequestTrace,
    request: &Request<Incoming>,
    routes: &RouteTable,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    trace.add(Decision::NoRoute { path, version: routes.version });
    let response = responses::plain(StatusCode::NOT_FOUND, "no route".to_owned());
    finish(trace, Outcome::Answered(response))
}

fn host(request: &Request<Incoming>) -> Option<String> {
    if let Some(host) = request.uri().host() {
        return Some(host.to_owned());
    }
    request.headers().get(header::HOST)?.to_str().ok().map(str::to_owned)
}

impl Outbound {
    /// The client account that sends the request, if the configuration has accounts and the request needs one.
    fn account(
        &self,
        request: &Request<Incoming>,
        rule: &Rule,
        routes: &RouteTable,
    ) -> Result<Option<Rc<Account>>, Rejection> {
        let Some(accounts) = &routes.accounts else { return Ok(None) };
        let headers = request.headers();
        let id = headers::caller_request_id(headers).and_then(|id| id.to_str().ok());
        authenticate(&self.shared, (headers, id.unwrap_or_default()), rule, accounts)
    }

    /// Responds to a request that no client account sends.
    fn rejected(&self, trace: &RequestTrace, rejection: Rejection) -> Response<ResponseBody> {
        let error = match rejection {
            Rejection::Undecided(refusal) => return finish(trace, Outcome::Refused(refusal)),
            Rejection::Key(error) => error,
        };
        self.shared.meters.refused_key(&error.to_string());
        log::warn!(id:% = trace.id(), reason:% = error; "request unauthorized");
        trace.add(Decision::Unauthorized(error));
        let mut response = responses::plain(StatusCode::UNAUTHORIZED, error.to_string());
        // Required by RFC 9110, section 15.5.2.
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
        finish(trace, Outcome::Answered(response))
    }

    /// Runs a request that has been read.
    async fn run(&self, call: &Rc<Call>, rule: &Rule, trace: &RequestTrace) -> Outcome {
        trace.set_service(&call.service);
        if !ends_in_time(&self.shared, call) {
            return Outcome::Refused(Reason::Stopping.into());
        }
        let attempts = Attempts { outbound: self, call, rule, trace };
        tokio::select! {
            biased;
            outcome = attempts.run() => outcome,
            () = self.wait_for_closing() => Outcome::Failed(Failure::Ended),
        }
    }

    /// The response to a request whose head announces a body above the limit.
    fn announced_too_long(
        &self,
        request: &Request<Incoming>,
        routes: &RouteTable,
    ) -> Option<Response<ResponseBody>> {
        let length = request.body().size_hint().exact()?;
        if length <= routes.limits.max_body_bytes as u64 {
            return None;
        }
        self.shared.held.record(LimitEvent::BodyTooLong);
        Some(too_long())
    }

    /// Reads the request with its whole body.
    async fn read(
        &self,
        request: Request<Incoming>,
        (rule, account): (&Rule, Option<&Account>),
        received: Moment,
        routes: &RouteTable,
    ) -> Result<Call, Response<ResponseBody>> {
        let (parts, body) = request.into_parts();
        let body = read_body(&self.shared, body, routes.limits.max_body_bytes).await?;
        let spent = self.timeouts.time_spent(&rule.name, caller_timeout(&parts.headers, rule));
        let service = rule.target(random()).cloned().unwrap_or_default();
        let source = CallSource { body, service, received, spent };
        Ok(build_call(&self.shared, parts, (routes, rule, account), source))
    }

    /// Waits until the process has to exit, with just enough time left to send error responses. The
    /// process closes with requests pending only in that case.
    async fn wait_for_closing(&self) {
        let mut phase = self.shared.phase.subscribe();
        // The sender lives as long as the process.
        let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
        tokio::time::sleep(CLOSING_TIMEOUT).await;
    }
}

/// The response to a request whose body is above the limit.
fn too_long() -> Response<ResponseBody> {
    responses::plain(StatusCode::PAYLOAD_TOO_LARGE, ReadError::TooLong.to_string())
}

async fn read_body(
    shared: &Shared,
    body: Incoming,
    limit: usize,
) -> Result<HeldBody, Response<ResponseBody>> {
    let plain = |status, error: ReadError| responses::plain(status, error.to_string());
    HeldBody::read((&shared.held, Listener::Callers), body, limit).await.map_err(
        |error| match error {
            ReadError::TooLong => too_long(),
            // The caller disconnected in the middle of its body, or sent malformed chunks.
            ReadError::Cut => plain(StatusCode::BAD_REQUEST, error),
            ReadError::Stalled => plain(StatusCode::REQUEST_TIMEOUT, error),
            ReadError::NoRoom => {
                responses::refused(Reason::BuffersFull.into(), shared.settings.retry_schedule)
            }
        },
    )
}
