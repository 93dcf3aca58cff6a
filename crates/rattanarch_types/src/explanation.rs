//! Explanation of where a request would be sent.

use serde::Deserialize;
use serde::Serialize;

use crate::DataCentreName;
use crate::InstanceId;
use crate::Rank;
use crate::ServiceName;
use crate::SliceId;
use crate::Version;

/// Headers that carry credentials, in lower case.
const CREDENTIAL_HEADERS: [&str; 3] = ["authorization", "proxy-authorization", "cookie"];

/// Whether the header `name` carries credentials, which an explanation neither needs nor accepts.
pub fn is_credential_header(name: &str) -> bool {
    CREDENTIAL_HEADERS.iter().any(|known| known.eq_ignore_ascii_case(name.trim()))
}

/// Where a daemon would send a request now, and why. Nothing of the request's headers is in it, and no address of a caller.
///
/// Fields that an older daemon does not send have their defaults.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Explanation {
    /// Instance of the daemon that explains.
    pub instance: InstanceId,
    /// Data centre of that daemon.
    pub data_centre: DataCentreName,
    /// Method of the request.
    pub method: String,
    /// Host by which the route was looked up.
    pub host: String,
    /// Path of the request, without its query.
    pub path: String,
    /// Version of the configuration; 0 if none is known.
    pub configuration: Version,
    /// Data centres that are taken out.
    pub taken_out: Vec<TakenOut>,
    /// Route that matches; `None` if none does, or if the request is refused before.
    pub route: Option<ExplainedRoute>,
    /// Response that the request gets before a service is chosen.
    pub refusal: Option<ExplainedRefusal>,
    /// Services that may get the request.
    pub services: Vec<ExplainedService>,
    /// What the explanation leaves out.
    pub notes: Vec<String>,
}

/// A data centre that is taken out.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TakenOut {
    /// Its name.
    pub data_centre: DataCentreName,
    /// Time in milliseconds since the daemon learned this; `None` if it does not know.
    pub age_ms: Option<u64>,
}

/// The route of an explained request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ExplainedRoute {
    /// Name given by the operators; empty if routes have none.
    pub name: String,
    /// Prefix of the path.
    pub prefix: String,
    /// Urgency of the request, 0 the most urgent.
    pub rank: Rank,
    /// Milliseconds until the caller gets a response in any case.
    pub timeout_ms: u64,
    /// Milliseconds after which the response is late; 0 if routes have no objective.
    pub objective_ms: u64,
}

/// A response by which the request is refused: it does not run.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ExplainedRefusal {
    /// HTTP status.
    pub status: u16,
    /// Reason, as in logs and metrics.
    pub reason: String,
    /// Shortest and longest `Retry-After` in milliseconds: it may be random; `None` if the response has none.
    pub retry_after_ms: Option<(u64, u64)>,
}

/// A service that may get the request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ExplainedService {
    /// Its name.
    pub service: ServiceName,
    /// Part of the route's requests that it gets, from 0 to 1.
    pub share: f64,
    /// Version of its record; `None` if none is known.
    pub record: Option<Version>,
    /// Slice of the key; `None` for services without keys, or without a key.
    pub slice: Option<SliceId>,
    /// The owner of the key, or the members of a service without keys.
    pub instances: Vec<ExplainedInstance>,
    /// What would become of the request at the upstream of the daemon that explains, if it may be sent there.
    pub admission: Option<ExplainedAdmission>,
    /// Why the request would not be sent to any instance.
    pub refusal: Option<ExplainedRefusal>,
}

/// A member that may get the request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ExplainedInstance {
    /// Its instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Address at which its daemon accepts forwarded requests.
    pub address: String,
    /// Whether it is the daemon that explains.
    pub own: bool,
    /// Part of such requests that it gets, from 0 to 1. For members of a service without keys it is an estimate.
    pub share: f64,
    /// Why it gets none, if it is not considered.
    pub excluded: Option<String>,
    /// Its load, as far as the daemon that explains knows it.
    pub load: ExplainedLoad,
}

/// Load of an instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ExplainedLoad {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that run or wait there.
    pub in_flight: u32,
    /// Mean service time in milliseconds; `None` if it is not known.
    pub mean_ms: Option<u64>,
    /// Whether it is cold.
    pub cold: bool,
    /// Part of the last requests sent there that failed, from 0 to 1.
    pub failure_ratio: f64,
    /// Age of its last report in milliseconds; `None` if it has not reported.
    pub age_ms: Option<u64>,
}

/// What would become of the request at the upstream of the daemon that explains, and the state that decides.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ExplainedAdmission {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Slots of the upstream.
    pub slots: u32,
    /// Requests that may run at once now.
    pub concurrency: u32,
    /// Whether the upstream is cold.
    pub cold: bool,
    /// State of the upstream that limits its requests.
    pub pace: String,
    /// Mean service time in milliseconds.
    pub mean_ms: u64,
    /// `starts`, `waits` for a slot, `held` until the key may be served, or `refused`.
    pub outcome: String,
    /// Why the request is held.
    pub held: Option<String>,
    /// The refusal that the request gets here. It may then be sent to another instance.
    pub refusal: Option<ExplainedRefusal>,
}
