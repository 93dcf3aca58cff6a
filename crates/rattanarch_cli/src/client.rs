//! Calls to daemons.

use std::time::Duration;

use rattanarch_config::OperatorRequest;
use rattanarch_config::OperatorResponse;
use ureq::Agent;
use ureq::Error;
use ureq::Timeout;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time to an answer: longer than a daemon tries a command.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls the first of several daemons that answers.
pub(crate) struct Client {
    agent: Agent,
    addresses: Vec<String>,
    /// Value of the `Authorization` header; never printed.
    authorization: String,
}

/// A call that no daemon answered.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// No connection was made; nothing was sent.
    #[error("no daemon could be reached: {0}")]
    NotSent(String),
    /// The call was sent to a daemon, and no answer came.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The daemon does not accept the call.
    #[error("{address} refuses the call with status {status}: {reason}")]
    Refused {
        /// Daemon that refused.
        address: String,
        /// HTTP status.
        status: u16,
        /// What it said.
        reason: String,
    },
}

impl Client {
    /// A client for the daemons at `addresses`, tried in turn.
    pub(crate) fn new(addresses: Vec<String>, token: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(ANSWER_TIMEOUT));
        let agent = config.build().into();
        Self { agent, addresses, authorization: format!("Bearer {}", token.trim()) }
    }

    /// Asks the daemons in turn until one answers.
    ///
    /// A command that one daemon did not answer may be repeated at the next: its write id lets it
    /// take effect only once.
    pub(crate) fn ask(&self, request: &OperatorRequest) -> Result<OperatorResponse, CallError> {
        let mut fault = CallError::NotSent("no address was given".to_owned());
        for address in &self.addresses {
            let error = match self.ask_one(address, request) {
                Err(CallError::NotSent(reason)) => CallError::NotSent(reason),
                Err(CallError::NoAnswer(reason)) => CallError::NoAnswer(reason),
                answered => return answered,
            };
            // That an earlier call was sent weighs more than that a later one was not.
            if !matches!((&fault, &error), (CallError::NoAnswer(_), CallError::NotSent(_))) {
                fault = error;
            }
        }
        Err(fault)
    }

    fn ask_one(
        &self,
        address: &str,
        request: &OperatorRequest,
    ) -> Result<OperatorResponse, CallError> {
        let url = format!("{}/operate", address.trim_end_matches('/'));
        let call = self.agent.post(&url).header("authorization", &self.authorization);
        // The daemon's server keeps a thread for each open connection.
        let call = call.header("connection", "close");
        let mut answer = call.send_json(request).map_err(|error| failed(address, &error))?;
        let status = answer.status().as_u16();
        let body = answer.body_mut().read_to_string();
        let body = body.map_err(|error| CallError::NoAnswer(format!("{address}: {error}")))?;
        if status != 200 {
            return Err(CallError::Refused { address: address.to_owned(), status, reason: body });
        }
        serde_json::from_str(&body)
            .map_err(|error| CallError::NoAnswer(format!("{address}: malformed answer: {error}")))
    }
}

fn failed(address: &str, error: &Error) -> CallError {
    let reason = format!("{address}: {error}");
    match error {
        Error::Timeout(Timeout::Resolve | Timeout::Connect)
        | Error::HostNotFound
        | Error::ConnectionFailed
        | Error::BadUri(_) => CallError::NotSent(reason),
        Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            CallError::NotSent(reason)
        }
        _ => CallError::NoAnswer(reason),
    }
}
