//! Start of the control thread and the threads that serve it.

use std::sync::Arc;
use std::time::Duration;

use rattanarch_ownership::Timing;
use rattanarch_types::Member;
use tokio::runtime::Builder;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;

use crate::connection::PeerSocket;
use crate::connection::PullServer;
use crate::connection::PullSource;
use crate::process::Control;
use crate::process::ControlEnd;
use crate::process::ControlParts;
use crate::process::DrainTracker;
use crate::process::Granter;
use crate::process::Input;
use crate::process::Metrics;
use crate::process::PeerFleet;
use crate::process::PlatformWorker;
use crate::process::Publisher;
use crate::process::RunError;
use crate::process::Settings;
use crate::process::UpstreamControl;
use crate::process::UpstreamState;

/// Handle of the control thread.
pub(crate) type ControlThread = std::thread::JoinHandle<ControlEnd>;

/// Arguments of the control thread.
pub(crate) struct ControlStart<'a> {
    /// Settings of the daemon.
    pub(crate) settings: &'a Settings,
    /// Answers of the upstream at the start.
    pub(crate) state: &'a UpstreamState,
    /// Entry of this member in the record.
    pub(crate) member: Member,
    /// Client for the upstream's control endpoints.
    pub(crate) upstream: UpstreamControl,
    /// Components shared with the operators' server.
    pub(crate) fleet: &'a PeerFleet,
}

impl ControlStart<'_> {
    /// Starts the control thread and the threads that serve it.
    ///
    /// # Errors
    /// If the operating system refuses a thread or a socket.
    pub(crate) fn spawn(
        self,
        peer_udp: std::net::UdpSocket,
        peer_tcp: std::net::TcpListener,
        inputs: UnboundedReceiver<Input>,
    ) -> Result<ControlThread, RunError> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let context = runtime.enter();
        let socket = tokio::net::UdpSocket::from_std(peer_udp)?;
        let listener = tokio::net::TcpListener::from_std(peer_tcp)?;
        let (pull_source, receiver) = watch::channel(PullSource::default());
        let bulk =
            PullServer::new(self.fleet.codec.clone(), receiver, Arc::clone(&self.fleet.counters));
        let parts = self.parts(socket, pull_source, inputs)?;
        drop(context);
        let run = move || {
            runtime.block_on(async move {
                tokio::spawn(bulk.run(listener));
                Control::new(parts).run().await
            })
        };
        Ok(std::thread::Builder::new().name("control".to_owned()).spawn(run)?)
    }

    fn parts(
        self,
        socket: tokio::net::UdpSocket,
        pull_source: watch::Sender<PullSource>,
        inputs: UnboundedReceiver<Input>,
    ) -> Result<ControlParts, RunError> {
        let process = &self.settings.process;
        let names = (&*process.firm, &*process.service);
        let (fleet, sender) = (self.fleet, self.fleet.inputs.clone());
        let counters = || Arc::clone(&fleet.counters);
        let initial = (self.state.reading, self.state.fence);
        let platform = fleet.platform.clone();
        Ok(ControlParts {
            member: self.member,
            timing: timing(self.settings),
            socket: PeerSocket::new(socket, fleet.codec.clone(), counters()),
            codec: fleet.codec.clone(),
            worker: PlatformWorker::start(platform, names, sender.clone(), counters())?,
            granter: Granter::start(self.upstream, initial, sender.clone(), counters())?,
            drain_tracker: DrainTracker::new(fleet.requests.running().clone()),
            publisher: Publisher::new(fleet.views.clone(), pull_source),
            requests: Arc::clone(&fleet.requests),
            reported_versions: fleet.reported_versions.clone(),
            metrics: Metrics::new(self.settings.metrics.statsd, counters())?,
            counters: counters(),
            inputs,
            sender,
            service: process.service.clone(),
            checks_fence: self.state.announcement.checks_fence,
        })
    }
}

/// Durations of the lease protocol, in the same proportions to the lease as the default ones.
fn timing(settings: &Settings) -> Timing {
    let lease = Duration::from_millis(settings.peers.lease_ms);
    Timing { lease, heartbeat: lease / 3, suspicion: lease * 5 / 6, ..Timing::default() }
}
