//! HTTP client for the operators' interface of daemons.

use std::time::Duration;

use rattanarch_config::OperatorRequest;
use rattanarch_config::OperatorResponse;
use rattanarch_types::Explanation;
use ureq::Agent;
use ureq::Error;
use ureq::Timeout;

/// Limit on the time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on the time from the call to its response. Longer than a daemon's own limit on a command.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time that a daemon's `Retry-After` is waited for.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(1);

/// Sends requests to several daemons in turn until one responds.
pub(crate) struct Client {
    agent: Agent,
    addresses: Vec<String>,
    /// Value of the `Authorization` header, if there is a token; never printed.
    authorization: Option<String>,
}

/// Why a call got no usable response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// No connection could be opened, so the request was not sent.
    #[error("no daemon could be reached: {0}")]
    NotSent(String),
    /// The request was sent to a daemon, but no valid response came.
    #[error("no response: {0}")]
    NoResponse(String),
    /// A daemon refused the request, for example because of the token.
    #[error("{address} refused the request with status {status}: {reason}")]
    Refused {
        /// Address of the daemon.
        address: String,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        reason: String,
    },
    /// The daemon does not know the request.
    #[error("{0} does not explain requests: the daemon's version is older")]
    Unsupported(String),
}

impl Client {
    /// Creates a client for the daemons at `addresses`, which authenticates with `token`.
    pub(crate) fn new(addresses: Vec<String>, token: Option<&str>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(RESPONSE_TIMEOUT));
        let agent = config.build().into();
        let authorization = token.map(|token| format!("Bearer {}", token.trim()));
        Self { agent, addresses, authorization }
    }

    /// Sends `request` to the daemons in turn until one responds.
    ///
    /// A command without a response from one daemon is sent to the next. Because of its write id it takes
    /// effect at most once.
    ///
    /// # Errors
    /// [`CallError::Refused`] as soon as a daemon refuses the request, another [`CallError`] if no daemon
    /// responds.
    pub(crate) fn send(&self, request: &OperatorRequest) -> Result<OperatorResponse, CallError> {
        self.try_each(|address| self.send_to(address, request))
    }

    /// Has one of the daemons explain a request, which `query` describes: the first that responds.
    ///
    /// # Errors
    /// [`CallError`], as for [`Client::send`].
    pub(crate) fn explain(&self, query: &[(&str, &str)]) -> Result<Explanation, CallError> {
        self.try_each(|address| self.explain_at(address, query))
    }

    /// Calls the daemons in turn until one responds.
    fn try_each<R>(&self, call: impl Fn(&str) -> Result<R, CallError>) -> Result<R, CallError> {
        let mut last_error = CallError::NotSent("no address was given".to_owned());
        for address in &self.addresses {
            let error = match call(address) {
                Err(CallError::NotSent(reason)) => CallError::NotSent(reason),
                Err(CallError::NoResponse(reason)) => CallError::NoResponse(reason),
                result => return result,
            };
            // `NoResponse` takes precedence over a later `NotSent`: the request may have taken effect.
            if !matches!((&last_error, &error), (CallError::NoResponse(_), CallError::NotSent(_))) {
                last_error = error;
            }
        }
        Err(last_error)
    }

    fn send_to(
        &self,
        address: &str,
        request: &OperatorRequest,
    ) -> Result<OperatorResponse, CallError> {
        let url = format!("{}/operate", address.trim_end_matches('/'));
        let call = self.agent.post(&url);
        let call = match &self.authorization {
            Some(authorization) => call.header("authorization", authorization),
            None => call,
        };
        // The daemon uses a thread for each open connection.
        let call = call.header("connection", "close");
        let mut response = call.send_json(request).map_err(|error| call_error(address, &error))?;
        let status = response.status().as_u16();
        let body = response.body_mut().read_to_string();
        let body = body.map_err(|error| CallError::NoResponse(format!("{address}: {error}")))?;
        if status != 200 {
            return Err(CallError::Refused { address: address.to_owned(), status, reason: body });
        }
        serde_json::from_str(&body).map_err(|error| {
            CallError::NoResponse(format!("{address}: malformed response: {error}"))
        })
    }

    fn explain_at(&self, address: &str, query: &[(&str, &str)]) -> Result<Explanation, CallError> {
        let url = format!("{}/explain", address.trim_end_matches('/'));
        let send = || {
            let mut call = self.agent.get(&url).query_pairs(query.iter().copied());
            if let Some(authorization) = &self.authorization {
                call = call.header("authorization", authorization);
            }
            let call = call.header("connection", "close");
            call.call().map_err(|error| call_error(address, &error))
        };
        let mut response = send()?;
        // A daemon on the users' platform limits the rate of explanations.
        if let Some(wait) = retry_wait(&response) {
            std::thread::sleep(wait);
            response = send()?;
        }
        let status = response.status().as_u16();
        let is_json = response.body().mime_type() == Some("application/json");
        let body = response.body_mut().read_to_string();
        let body = body.map_err(|error| CallError::NoResponse(format!("{address}: {error}")))?;
        match status {
            200 if is_json => serde_json::from_str(&body).map_err(|error| {
                CallError::NoResponse(format!("{address}: malformed response: {error}"))
            }),
            // On the users' platform, daemons without this path answer with their metrics.
            200 | 404 => Err(CallError::Unsupported(address.to_owned())),
            _ => {
                let address = address.to_owned();
                Err(CallError::Refused { address, status, reason: body })
            }
        }
    }
}

/// The time after which a request that came too early is to be sent again.
fn retry_wait<B>(response: &ureq::http::Response<B>) -> Option<Duration> {
    if response.status() != ureq::http::StatusCode::TOO_MANY_REQUESTS {
        return None;
    }
    let seconds = response.headers().get("retry-after")?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().filter(|wait| *wait <= MAX_RETRY_WAIT)
}

fn call_error(address: &str, error: &Error) -> CallError {
    let reason = format!("{address}: {error}");
    match error {
        Error::Timeout(Timeout::Resolve | Timeout::Connect)
        | Error::HostNotFound
        | Error::ConnectionFailed
        | Error::BadUri(_) => CallError::NotSent(reason),
        Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            CallError::NotSent(reason)
        }
        _ => CallError::NoResponse(reason),
    }
}
