//! What the control loop is made of, and how it ends.

use std::sync::Arc;

use rattanarch_ownership::Timing;
use rattanarch_types::Member;
use rattanarch_wire::Codec;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use crate::connection::PeerSocket;
use crate::process::Counters;
use crate::process::Granter;
use crate::process::Input;
use crate::process::Metrics;
use crate::process::PlatformWorker;
use crate::process::Publisher;
use crate::process::Quiescence;
use crate::process::Reports;
use crate::request::RequestHandler;

/// How the control loop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ControlEnd {
    /// Everything was released and the member has left.
    Left,
    /// A later process in this slot has taken the upstream.
    Superseded,
}

/// What the control loop is made of.
#[derive(Debug)]
pub(crate) struct ControlParts {
    /// Entry of this member in the record; its term and witnesses are the node's to fill in.
    pub(crate) member: Member,
    /// Durations of the lease protocol.
    pub(crate) timing: Timing,
    /// Proves origins of frames.
    pub(crate) codec: Codec,
    /// Datagrams.
    pub(crate) socket: PeerSocket,
    /// Calls to the platform.
    pub(crate) worker: PlatformWorker,
    /// Grants for the upstream.
    pub(crate) granter: Granter,
    /// Running requests.
    pub(crate) quiescence: Quiescence,
    /// Tells the rest of the process.
    pub(crate) publisher: Publisher,
    /// Requests of this daemon.
    pub(crate) requests: Arc<RequestHandler>,
    /// What members reported.
    pub(crate) reports: Reports,
    /// Sends metrics.
    pub(crate) metrics: Metrics,
    /// Counters.
    pub(crate) counters: Arc<Counters>,
    /// Where other threads tell the loop.
    pub(crate) inputs: UnboundedReceiver<Input>,
    /// For tasks that the loop starts.
    pub(crate) sender: UnboundedSender<Input>,
    /// Service of this member.
    pub(crate) service: String,
    /// Whether the upstream checks fences.
    pub(crate) checks_fence: bool,
}
