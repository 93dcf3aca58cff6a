//! Components of the control loop, and its result.

use std::sync::Arc;

use rattanarch_ownership::Timing;
use rattanarch_types::Member;
use rattanarch_wire::Codec;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use crate::connection::PeerSocket;
use crate::process::Counters;
use crate::process::DrainTracker;
use crate::process::Granter;
use crate::process::Input;
use crate::process::Metrics;
use crate::process::PlatformWorker;
use crate::process::Publisher;
use crate::process::ReportedVersions;
use crate::request::RequestHandler;

/// Reason for which the control loop has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ControlEnd {
    /// The member has released everything and left.
    Left,
    /// A later process in this slot has taken the upstream.
    Superseded,
}

/// Components of the control loop.
#[derive(Debug)]
pub(crate) struct ControlParts {
    /// Entry of this member in the record; the node fills in its term and its witnesses.
    pub(crate) member: Member,
    /// Durations of the lease protocol.
    pub(crate) timing: Timing,
    /// Authenticates the frames of peers.
    pub(crate) codec: Codec,
    /// Datagrams to and from peers.
    pub(crate) socket: PeerSocket,
    /// Threads that call the platform.
    pub(crate) worker: PlatformWorker,
    /// Thread that gives grants to the upstream.
    pub(crate) granter: Granter,
    /// Slices and keys that are drained before their release.
    pub(crate) drain_tracker: DrainTracker,
    /// Publishes views to the other threads.
    pub(crate) publisher: Publisher,
    /// Request handler of this daemon.
    pub(crate) requests: Arc<RequestHandler>,
    /// Configuration versions that members reported.
    pub(crate) reported_versions: ReportedVersions,
    /// Sender of the metrics.
    pub(crate) metrics: Metrics,
    /// Counters of the process.
    pub(crate) counters: Arc<Counters>,
    /// Inputs from other threads and tasks.
    pub(crate) inputs: UnboundedReceiver<Input>,
    /// Sender of inputs, for tasks that the loop starts.
    pub(crate) sender: UnboundedSender<Input>,
    /// Service of this member.
    pub(crate) service: String,
    /// Whether the upstream checks fences.
    pub(crate) checks_fence: bool,
}
