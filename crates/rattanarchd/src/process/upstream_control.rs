//! Client for the control endpoints of the upstream beside this daemon.

use std::net::SocketAddr;
use std::time::Duration;

use rattanarch_types::Fence;
use rattanarch_types::Moment;
use rattanarch_types::ServiceName;
use serde::Deserialize;
use serde_json::json;

use crate::process::Clock;

/// Timeout of a call; a grant that takes longer arrives too late to be useful.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Bound on the drift between the clocks of this machine and the upstream's, in parts per million; ten times the
/// tolerance of a crystal oscillator.
const DRIFT_PPM: u128 = 1_000;

/// Properties that an upstream announces.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub(crate) struct Announcement {
    /// Service of the upstream.
    pub(crate) service: ServiceName,
    /// Maximum number of concurrent requests when it is warm.
    pub(crate) slots: u16,
    /// Whether it refuses fences lower than the highest that it has accepted.
    pub(crate) checks_fence: bool,
}

/// Load that an upstream reports; it may be outdated or wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub(crate) struct UpstreamLoad {
    /// Number of running requests.
    pub(crate) running: u32,
    /// Maximum number of concurrent requests at present.
    pub(crate) slots: u32,
}

/// A reading of the upstream's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    /// Boot of the upstream whose clock was read; the clock of each boot has its own origin.
    boot: u64,
    /// The upstream's clock, in milliseconds.
    upstream_ms: u64,
    /// This daemon's clock when the response arrived, which is after the upstream read its own.
    received: Moment,
}

/// End of a grant, on the clock of one boot of the upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantEnd {
    boot: u64,
    until_ms: u64,
}

impl ClockReading {
    /// A time on the upstream's clock that certainly comes no later than `end` on this daemon's clock, whatever the
    /// drift between the clocks within [`DRIFT_PPM`].
    pub(crate) fn grant_end_by(&self, end: Moment) -> GrantEnd {
        let span = end.saturating_sub(self.received).as_millis();
        let shortest = span * (1_000_000 - DRIFT_PPM) / 1_000_000;
        self.grant_end_at(self.upstream_ms + shortest as u64)
    }

    /// The time `until_ms` on the upstream's clock, in milliseconds.
    pub(crate) fn grant_end_at(&self, until_ms: u64) -> GrantEnd {
        GrantEnd { boot: self.boot, until_ms }
    }
}

#[derive(Debug, Deserialize)]
struct ClockResponse {
    boot: u64,
    clock_ms: u64,
    fence: Fence,
}

#[derive(Debug, Deserialize)]
struct GrantResponse {
    #[serde(default)]
    clock_ms: u64,
    #[serde(default)]
    fence: Fence,
    #[serde(default)]
    older_running: u64,
}

/// Response of the upstream to a grant.
#[derive(Clone, Copy, Debug)]
pub(crate) enum GrantOutcome {
    /// It has accepted the grant.
    Accepted {
        /// Reading of its clock from the response.
        reading: ClockReading,
        /// Number of requests that still run under lower fences.
        older_running: u64,
    },
    /// It has accepted this higher fence of another boot of this daemon.
    Superseded(Fence),
    /// It has restarted since its clock was read.
    Restarted,
}

/// A control call that failed.
#[derive(Debug, thiserror::Error)]
#[error("upstream at {address} did not answer {call}: {reason}")]
pub(crate) struct ControlError {
    address: SocketAddr,
    call: &'static str,
    reason: String,
}

/// Client for the control endpoints.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamControl {
    address: SocketAddr,
    agent: ureq::Agent,
    clock: Clock,
}

impl UpstreamControl {
    /// Creates a client for the upstream at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self { address, agent: config.into(), clock: Clock }
    }

    /// Fetches what the upstream announces.
    ///
    /// # Errors
    /// If the upstream does not respond in time, or sends an unexpected response; the same for all calls.
    pub(crate) fn announcement(&self) -> Result<Announcement, ControlError> {
        self.get("announce")
    }

    /// Fetches the upstream's load.
    pub(crate) fn load(&self) -> Result<UpstreamLoad, ControlError> {
        self.get("load")
    }

    /// Reads the upstream's clock and the highest fence that it has accepted.
    pub(crate) fn clock(&self) -> Result<(ClockReading, Fence), ControlError> {
        let response: ClockResponse = self.get("clock")?;
        let reading = ClockReading {
            boot: response.boot,
            upstream_ms: response.clock_ms,
            received: self.clock.now(),
        };
        Ok((reading, response.fence))
    }

    /// Gives the upstream a grant that ends at `end`.
    pub(crate) fn grant(&self, fence: Fence, end: GrantEnd) -> Result<GrantOutcome, ControlError> {
        let GrantEnd { boot, until_ms } = end;
        let fail = |reason: String| self.error("grant", reason);
        let mut response = self
            .agent
            .put(self.url("grant"))
            .send_json(json!({ "fence": fence, "until_ms": until_ms, "boot": boot }))
            .map_err(|error| fail(error.to_string()))?;
        let status = response.status().as_u16();
        let body: Result<GrantResponse, _> = response.body_mut().read_json();
        let body = body.map_err(|error| fail(error.to_string()))?;
        match status {
            200 => {
                let received = self.clock.now();
                let reading = ClockReading { boot, upstream_ms: body.clock_ms, received };
                Ok(GrantOutcome::Accepted { reading, older_running: body.older_running })
            }
            409 => Ok(GrantOutcome::Superseded(body.fence)),
            412 => Ok(GrantOutcome::Restarted),
            other => Err(fail(format!("status {other}"))),
        }
    }

    fn get<T: serde::de::DeserializeOwned>(&self, call: &'static str) -> Result<T, ControlError> {
        let fail = |reason: String| self.error(call, reason);
        let response = self.agent.get(self.url(call)).call();
        let mut response = response.map_err(|error| fail(error.to_string()))?;
        if response.status() != 200 {
            return Err(fail(format!("status {}", response.status())));
        }
        response.body_mut().read_json().map_err(|error| fail(error.to_string()))
    }

    fn url(&self, call: &str) -> String {
        format!("http://{}/control/{call}", self.address)
    }

    fn error(&self, call: &'static str, reason: String) -> ControlError {
        ControlError { address: self.address, call, reason }
    }
}
