//! Calls to the control endpoints of the upstream beside this daemon.

use std::net::SocketAddr;
use std::time::Duration;

use rattanarch_types::Fence;
use rattanarch_types::Moment;
use rattanarch_types::ServiceName;
use serde::Deserialize;
use serde_json::json;

use crate::process::Clock;

/// Longest time of one call: a grant that takes longer would come too late to be of use.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Clocks of this machine and the upstream's may differ by this much in a second, in parts per
/// million; ten times what a crystal oscillator is allowed to.
const DRIFT_PPM: u128 = 1_000;

/// What an upstream says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub(crate) struct Announcement {
    /// Service that it is of.
    pub(crate) service: ServiceName,
    /// Concurrent requests that it bears when warm.
    pub(crate) slots: u16,
    /// Whether it refuses fences lower than the highest it has taken.
    pub(crate) checks_fence: bool,
}

/// What an upstream says of its load; it lags or misleads.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub(crate) struct UpstreamLoad {
    /// Requests that run.
    pub(crate) running: u32,
    /// Concurrent requests that it bears now.
    pub(crate) slots: u32,
}

/// A reading of the upstream's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    /// Life of the upstream that the reading is of; another life's clock has another origin.
    boot: u64,
    /// The upstream's clock.
    upstream_ms: u64,
    /// This daemon's clock when the answer arrived: not before the upstream read its own.
    received: Moment,
}

/// The end of a grant, on the clock of one life of the upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantEnd {
    boot: u64,
    until_ms: u64,
}

impl ClockReading {
    /// The time on the upstream's clock that it surely reaches no later than this daemon's clock
    /// reaches `end`.
    pub(crate) fn ending_no_later(&self, end: Moment) -> GrantEnd {
        let span = end.saturating_sub(self.received).as_millis();
        let least = span * (1_000_000 - DRIFT_PPM) / 1_000_000;
        self.ending_at(self.upstream_ms + least as u64)
    }

    /// The time `until_ms` on the upstream's clock.
    pub(crate) fn ending_at(&self, until_ms: u64) -> GrantEnd {
        GrantEnd { boot: self.boot, until_ms }
    }
}

#[derive(Debug, Deserialize)]
struct ClockAnswer {
    boot: u64,
    clock_ms: u64,
    fence: Fence,
}

#[derive(Debug, Deserialize)]
struct GrantAnswer {
    #[serde(default)]
    clock_ms: u64,
    #[serde(default)]
    fence: Fence,
    #[serde(default)]
    older_running: u64,
}

/// How the upstream answered a grant.
#[derive(Clone, Copy, Debug)]
pub(crate) enum GrantOutcome {
    /// It took the grant.
    Taken {
        /// Its clock at the answer.
        reading: ClockReading,
        /// Requests that still run under lower fences.
        older_running: u64,
    },
    /// It has taken this higher fence, of another life of this daemon.
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
    /// A client for the upstream at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self { address, agent: config.into(), clock: Clock }
    }

    /// Asks what the upstream announces.
    pub(crate) fn announcement(&self) -> Result<Announcement, ControlError> {
        self.get("announce")
    }

    /// Asks for the upstream's load.
    pub(crate) fn load(&self) -> Result<UpstreamLoad, ControlError> {
        self.get("load")
    }

    /// Reads the upstream's clock and the highest fence that it has taken.
    pub(crate) fn clock(&self) -> Result<(ClockReading, Fence), ControlError> {
        let answer: ClockAnswer = self.get("clock")?;
        let reading = ClockReading {
            boot: answer.boot,
            upstream_ms: answer.clock_ms,
            received: self.clock.now(),
        };
        Ok((reading, answer.fence))
    }

    /// Gives a grant.
    pub(crate) fn grant(&self, fence: Fence, end: GrantEnd) -> Result<GrantOutcome, ControlError> {
        let GrantEnd { boot, until_ms } = end;
        let fail = |reason: String| self.error("grant", reason);
        let mut answer = self
            .agent
            .put(self.url("grant"))
            .send_json(json!({ "fence": fence, "until_ms": until_ms, "boot": boot }))
            .map_err(|error| fail(error.to_string()))?;
        let status = answer.status().as_u16();
        let body: Result<GrantAnswer, _> = answer.body_mut().read_json();
        let body = body.map_err(|error| fail(error.to_string()))?;
        match status {
            200 => {
                let received = self.clock.now();
                let reading = ClockReading { boot, upstream_ms: body.clock_ms, received };
                Ok(GrantOutcome::Taken { reading, older_running: body.older_running })
            }
            409 => Ok(GrantOutcome::Superseded(body.fence)),
            412 => Ok(GrantOutcome::Restarted),
            other => Err(fail(format!("status {other}"))),
        }
    }

    fn get<T: serde::de::DeserializeOwned>(&self, call: &'static str) -> Result<T, ControlError> {
        let fail = |reason: String| self.error(call, reason);
        let answer = self.agent.get(self.url(call)).call();
        let mut answer = answer.map_err(|error| fail(error.to_string()))?;
        if answer.status() != 200 {
            return Err(fail(format!("status {}", answer.status())));
        }
        answer.body_mut().read_json().map_err(|error| fail(error.to_string()))
    }

    fn url(&self, call: &str) -> String {
        format!("http://{}/control/{call}", self.address)
    }

    fn error(&self, call: &'static str, reason: String) -> ControlError {
        ControlError { address: self.address, call, reason }
    }
}
