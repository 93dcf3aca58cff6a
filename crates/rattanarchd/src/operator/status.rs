//! The daemon's state, as JSON.

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

/// What a daemon knows at one time. Durations are in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Slot of the daemon.
    pub instance: InstanceId,
    /// Service of its upstream.
    pub service: ServiceName,
    /// Firm of the service.
    pub firm: FirmName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Its boot id; 0 before it has joined.
    pub boot_id: BootId,
    /// Version of the record that it has applied.
    pub record_version: Version,
    /// Time left of its lease; `None` without one.
    pub lease_ms: Option<u64>,
    /// Fence of the grant that its upstream has taken.
    pub fence: Option<Fence>,
    /// Slices that it owns.
    pub slices: usize,
    /// Slices that it is releasing.
    pub releasing: usize,
    /// Configuration version that it has in force.
    pub configuration_version: Version,
    /// Time since it was last sure to be current; `None` when it never was.
    pub age_ms: Option<u64>,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Members of its service by instance.
    pub members: BTreeMap<InstanceId, MemberStatus>,
    /// Requests that it has refused, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Counters since its start, by the names of the metrics.
    pub counters: BTreeMap<String, u64>,
}

/// What a daemon knows of a member of its service.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Its boot id.
    pub boot_id: BootId,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Where peers reach it.
    pub peer: SocketAddr,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Slices that it owns.
    pub slices: usize,
    /// Whether it is on its way out.
    pub leaving: bool,
    /// Configuration version that it last reported; `None` when it reported none.
    pub configuration_version: Option<Version>,
    /// Requests that it runs, if it reported them.
    pub running: Option<u32>,
    /// Requests that it may run at most, if it reported it.
    pub limit: Option<u32>,
}

impl Status {
    /// The state of the daemon of `process` at `now`.
    pub(crate) fn new(
        process: &ProcessSettings,
        view: &View,
        fleet: &dyn Fleet,
        now: Moment,
    ) -> Self {
        let serving = &view.serving;
        let lease = serving.lease_end.filter(|until| *until > now);
        Self {
            instance: process.instance.clone(),
            service: process.service.clone(),
            firm: process.firm.clone(),
            data_centre: process.data_centre.clone(),
            boot_id: serving.me,
            record_version: serving.record.version,
            lease_ms: lease.map(|until| millis(until - now)),
            fence: view.grant.map(|grant| grant.fence),
            slices: serving.record.slices_of(serving.me).count(),
            releasing: serving.held.len(),
            configuration_version: view.configuration.version,
            age_ms: view.confirmed_at.map(|at| millis(now.saturating_sub(at))),
            stopping: view.stopping,
            members: members(view, fleet),
            refusals: fleet.refusals(),
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
