//! One incarnation of an instance in a service.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::BootId;
use crate::DataCentreName;
use crate::Fence;
use crate::InstanceId;
use crate::Version;

/// A member of a service: a daemon and its upstream, from the time it joins until it leaves, is taken
/// over, or rejoins under a new boot id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Instance that the daemon belongs to; unique among the members of a record.
    pub instance: InstanceId,
    /// Data centre from the daemon's settings.
    pub data_centre: DataCentreName,
    /// Address for lease datagrams (UDP) and bulk connections (TCP) of peers.
    pub peer: SocketAddr,
    /// Address for HTTP requests of callers and forwarding daemons.
    pub caller: SocketAddr,
    /// Concurrent requests that its upstream can run when warm; at least 1.
    pub slots: u16,
    /// First fence that the upstream accepted for this process before it joined; 0 if the upstream
    /// does not check fences.
    ///
    /// All fences of one process are within [`Member::FENCE_SPAN`] of its first one, and those of a
    /// newer process in the same slot are above that range, so the older process can never raise its
    /// fence above the newer one's.
    #[serde(default)]
    pub fence: Fence,
    /// Record version at which this member joined, or the one that was next when it last chose other `witnesses`.
    ///
    /// Witnesses acknowledge leases for a term, never for a record version, so a change that does not
    /// affect this member does not affect its lease.
    pub term: Version,
    /// Members that renew this member's lease; renewal takes a majority of them.
    ///
    /// Never contains the member itself. Empty only while fewer than two members exist.
    pub witnesses: Vec<BootId>,
    /// Whether the member is leaving: it gets no slices and no witness duty.
    pub leaving: bool,
    /// Number of updates that handed over slices of this member at its own request. Never decreases.
    ///
    /// A release request carries the number that was current when it was made, and the update that applies the request
    /// increments it. So a late copy of the request can't take away slices that the member has got back since.
    #[serde(default)]
    pub releases: u64,
    /// Rate of the machine's network link, in megabits per second; 0 if unknown.
    #[serde(default, rename = "link")]
    pub link_megabits_per_s: u32,
}

impl Member {
    /// Number of fences that one process may use.
    pub const FENCE_SPAN: Fence = 1 << 32;
}
