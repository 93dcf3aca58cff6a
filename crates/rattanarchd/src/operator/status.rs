//! Status of the daemon, serialized as JSON.
//!
//! The field names are keys of the JSON objects, so renaming one changes the API.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rattanarch_types::BootId;
use rattanarch_types::DataCentreName;
use rattanarch_types::Fence;
use rattanarch_types::FirmName;
use rattanarch_types::InstanceId;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::ServiceName;
use rattanarch_types::Version;
use serde::Serialize;

use crate::operator::Fleet;
use crate::process::ProcessSettings;
use crate::version::View;

/// Status of a daemon at one moment. Durations are in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Instance of the slot that the daemon runs in.
    pub instance: InstanceId,
    /// Service of its upstream.
    pub service: ServiceName,
    /// Firm of the service.
    pub firm: FirmName,
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Boot id of the daemon; 0 before it has joined.
    pub boot_id: BootId,
    /// Version of the record that the daemon has applied.
    pub record_version: Version,
    /// Remaining time of its lease; `None` without a lease.
    pub lease_ms: Option<u64>,
    /// Fence of the grant that its upstream has accepted.
    pub fence: Option<Fence>,
    /// Number of slices that it owns.
    pub slices: usize,
    /// Number of slices that it is releasing.
    pub releasing: usize,
    /// Configuration version in force at the daemon.
    pub configuration_version: Version,
    /// Time since its state was last confirmed to be current; `None` if never.
    pub age_ms: Option<u64>,
    /// Whether the daemon is stopping.
    pub stopping: bool,
    /// Members of its service by instance.
    pub members: BTreeMap<InstanceId, MemberStatus>,
    /// Number of requests that it has refused since its start, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Counters since its start, by metric name.
    pub counters: BTreeMap<String, u64>,
}

/// State of a member of the daemon's service.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Boot id of the member.
    pub boot_id: BootId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Number of slices that it owns.
    pub slices: usize,
    /// Whether it is leaving the service.
    pub leaving: bool,
    /// Configuration version that it last reported to have in force; `None` if it reported none.
    pub configuration_version: Option<Version>,
    /// Number of running requests, if reported.
    pub running: Option<u32>,
    /// Largest number of concurrent requests, if reported.
    pub limit: Option<u32>,
}

impl Status {
    /// Status at `now` of the daemon with the settings `process`.
    pub(crate) fn new(
        process: &ProcessSettings,
        view: &View,
        fleet: &dyn Fleet,
        now: Moment,
    ) -> Self {
        let serving = &view.serving;
        let lease = serving.lease_end.filter(|end| *end > now);
        Self {
            instance: process.instance.clone(),
            service: process.service.clone(),
            firm: process.firm.clone(),
            data_centre: process.data_centre.clone(),
            boot_id: serving.me,
            record_version: serving.record.version,
            lease_ms: lease.map(|end| millis(end - now)),
            fence: view.grant.map(|grant| grant.fence),
            slices: serving.record.slices_of(serving.me).count(),
            releasing: serving.releasing.len(),
            configuration_version: view.configuration.version,
            age_ms: view.confirmed_at.map(|at| millis(now.saturating_sub(at))),
            stopping: view.stopping,
            members: members(view, fleet),
            refusals: fleet.error_counts(),
            counters: fleet.counters(),
        }
    }
}

fn members(view: &View, fleet: &dyn Fleet) -> BTreeMap<InstanceId, MemberStatus> {
    let record = &view.serving.record;
    let (versions, loads) = (fleet.versions(), fleet.loads());
    let status = |(boot, member): (&BootId, &Member)| {
        let load = loads.get(boot);
        let status = MemberStatus {
            boot_id: *boot,
            data_centre: member.data_centre.clone(),
            peer: member.peer,
            caller: member.caller,
            slices: record.slices_of(*boot).count(),
            leaving: member.leaving,
            configuration_version: versions.get(boot).copied(),
            running: load.map(|load| load.running),
            limit: load.map(|load| load.limit),
        };
        (member.instance.clone(), status)
    };
    record.members.iter().map(status).collect()
}

fn millis(duration: Moment) -> u64 {
    duration.as_millis() as u64
}
