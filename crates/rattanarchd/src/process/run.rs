//! Start and planned stop of the daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rattanarch_platform::Platform;
use rattanarch_types::Fence;
use rattanarch_types::Member;
use rattanarch_wire::Codec;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;

use crate::connection::RequestServer;
use crate::operator::Access;
use crate::operator::Fleet;
use crate::operator::OperatorApi;
use crate::operator::Server;
use crate::operator::ServerError;
use crate::process::Announcement;
use crate::process::Clock;
use crate::process::ControlEnd;
use crate::process::ControlStart;
use crate::process::ControlThread;
use crate::process::Counters;
use crate::process::Input;
use crate::process::ListenError;
use crate::process::Listeners;
use crate::process::PeerFleet;
use crate::process::ReportedVersions;
use crate::process::Settings;
use crate::process::UpstreamControl;
use crate::process::fence_earlier_boots;
use crate::process::stop_signal;
use crate::process::upstream_control::ClockReading;
use crate::request::RequestHandler;
use crate::request::RequestSettings;
use crate::version::Views;

/// Number of threads that handle requests; the control loop has its own thread, so that requests can't delay it.
const REQUEST_THREADS: usize = 2;
/// Interval between two calls to an upstream that has not announced itself yet.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);

/// Reason for which the daemon ended other than by a completed planned stop.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A listening socket can't be opened.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The operators' server can't start.
    #[error(transparent)]
    Operators(#[from] ServerError),
    /// The operating system refused a thread, a socket or a signal handler.
    #[error("operating system refused a resource: {0}")]
    Resource(#[from] std::io::Error),
    /// The upstream beside the daemon is of another service than the one in the settings.
    #[error("upstream announces service {announced:?}; the settings name service {expected:?}")]
    WrongService {
        /// Service that the upstream announces.
        announced: String,
        /// Service in the settings.
        expected: String,
    },
    /// A later process in this slot has taken the upstream.
    #[error("a later process in this slot has taken the upstream")]
    Superseded,
    /// The planned stop took longer than the settings allow.
    #[error(
        "stop did not finish within {0:?}: the record does not show that ownership was released"
    )]
    StopTimeout(Duration),
}

/// Runs the daemon until a planned stop is complete.
///
/// # Errors
/// See [`RunError`].
pub fn run(settings: Settings) -> Result<(), RunError> {
    let stop = stop_signal()?;
    let listeners = Listeners::open(&settings.listen)?;
    let upstream = UpstreamControl::new(settings.upstream.address);
    let Some(upstream_state) = wait_for_upstream(&upstream, &settings, &stop)? else {
        return Ok(());
    };
    Daemon::start(settings, listeners, upstream, &upstream_state)?.run(&stop)
}

/// Answers of the upstream at the start.
pub(crate) struct UpstreamState {
    /// Properties that it announced.
    pub(crate) announcement: Announcement,
    /// A reading of its clock.
    pub(crate) reading: ClockReading,
    /// Fence of this process that it has accepted.
    pub(crate) fence: Fence,
}

/// Waits until the upstream has announced itself and refuses the fences of all earlier boots of this daemon. Returns
/// `None` if the process is to stop first.
fn wait_for_upstream(
    upstream: &UpstreamControl,
    settings: &Settings,
    stop: &std::sync::mpsc::Receiver<()>,
) -> Result<Option<UpstreamState>, RunError> {
    let mut logged = false;
    loop {
        let state = upstream.announcement().and_then(|announcement| {
            let (reading, fence) = fence_earlier_boots(upstream)?;
            Ok(UpstreamState { announcement, reading, fence })
        });
        match state {
            Ok(state) => return check_service(state, settings).map(Some),
            Err(error) if !logged => {
                log::info!(reason:% = error; "waiting for the upstream");
                logged = true;
            }
            Err(_) => {}
        }
        if stop.recv_timeout(ANNOUNCE_INTERVAL).is_ok() {
            return Ok(None);
        }
    }
}

fn check_service(state: UpstreamState, settings: &Settings) -> Result<UpstreamState, RunError> {
    let (announced, expected) = (&state.announcement.service, &settings.process.service);
    if announced == expected {
        return Ok(state);
    }
    Err(RunError::WrongService { announced: announced.clone(), expected: expected.clone() })
}

/// Components of the running daemon.
struct Daemon {
    settings: Settings,
    /// Runs the tasks that handle requests.
    runtime: Runtime,
    callers: RequestServer,
    control: ControlThread,
    inputs: UnboundedSender<Input>,
    _operators: Server,
}

impl Daemon {
    fn start(
        settings: Settings,
        listeners: Listeners,
        upstream: UpstreamControl,
        state: &UpstreamState,
    ) -> Result<Self, RunError> {
        let (caller, peer) = listeners.addresses()?;
        let views = Views::default();
        let runtime = Builder::new_multi_thread()
            .worker_threads(REQUEST_THREADS)
            .thread_name("requests")
            .enable_all()
            .build()?;
        let handler = RequestHandler::new(request_settings(&settings, state), views.clone(), Clock);
        let callers =
            RequestServer::start(runtime.handle(), listeners.caller, Arc::clone(&handler))?;
        let platform = Platform::new(&*settings.platform.address, &*settings.platform.token)
            .with_timeout(Duration::from_millis(settings.platform.timeout_ms));
        let (inputs, receiver) = unbounded_channel();
        let fleet = PeerFleet {
            reported_versions: ReportedVersions::default(),
            views: views.clone(),
            requests: Arc::clone(&handler),
            slots: state.announcement.slots,
            counters: Arc::new(Counters::default()),
            codec: Codec::new(settings.peers.secret.as_bytes()),
            platform: platform.clone(),
            runtime: runtime.handle().clone(),
            inputs: inputs.clone(),
        };
        let fleet = Arc::new(fleet);
        let operators = start_operators(&settings, &fleet)?;
        log::info!(
            caller:% = caller, peer:% = peer, operator:% = operators.address(),
            slots = state.announcement.slots, fence = state.fence;
            "listening"
        );
        let advertise = &settings.advertise;
        let addresses = (advertise.caller.unwrap_or(caller), advertise.peer.unwrap_or(peer));
        let member = member(&settings, state, addresses);
        let start = ControlStart { settings: &settings, state, member, upstream, fleet: &fleet };
        let control = start.spawn(listeners.peer_udp, listeners.peer_tcp, receiver)?;
        Ok(Self { settings, runtime, callers, control, inputs, _operators: operators })
    }

    /// Runs until the process is to stop, then releases ownership while requests still run, and finally lets the
    /// requests of callers finish.
    fn run(self, stop: &std::sync::mpsc::Receiver<()>) -> Result<(), RunError> {
        self.wait_for_stop(stop);
        let timeout = self.settings.stop_timeout();
        let deadline = Instant::now() + timeout;
        let _ = self.inputs.send(Input::Stop);
        while !self.control.is_finished() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(10));
        }
        let left = self.control.is_finished();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let finished = self.runtime.block_on(self.callers.stop(remaining.max(MIN_FINISH_TIME)));
        log::info!(left = left, served_out = finished; "stopped");
        if !left {
            return Err(RunError::StopTimeout(timeout));
        }
        match self.control.join() {
            Ok(ControlEnd::Left) => Ok(()),
            Ok(ControlEnd::Superseded) => Err(RunError::Superseded),
            Err(_) => Err(std::io::Error::other("control loop panicked").into()),
        }
    }

    fn wait_for_stop(&self, stop: &std::sync::mpsc::Receiver<()>) {
        while !self.control.is_finished() {
            if stop.recv_timeout(CONTROL_CHECK_INTERVAL).is_ok() {
                return;
            }
        }
    }
}

/// Interval at which the daemon checks whether the control loop has ended.
const CONTROL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time for callers' requests to finish, even if the release of ownership has used up the time of the stop.
const MIN_FINISH_TIME: Duration = Duration::from_secs(1);

fn start_operators(settings: &Settings, fleet: &Arc<PeerFleet>) -> Result<Server, ServerError> {
    let (views, platform) = (fleet.views.clone(), fleet.platform.clone());
    let requests = Arc::clone(&fleet.requests);
    let fleet = Arc::clone(fleet) as Arc<dyn Fleet>;
    let api = OperatorApi::new(settings.process.clone(), views, platform, fleet);
    let api = api.with_requests(requests);
    Server::start(settings.listen.operator, Access::new(&settings.operators), Arc::new(api))
}

fn request_settings(settings: &Settings, state: &UpstreamState) -> RequestSettings {
    RequestSettings::default()
        .with_service(&*settings.process.service)
        .with_instance(&*settings.process.instance)
        .with_upstream(settings.upstream.address)
        .with_checks_fence(state.announcement.checks_fence)
        .with_slots(state.announcement.slots)
        .with_connections(settings.upstream.connections as u16)
}

fn member(
    settings: &Settings,
    state: &UpstreamState,
    (caller, peer): (SocketAddr, SocketAddr),
) -> Member {
    Member {
        instance: settings.process.instance.clone(),
        data_centre: settings.process.data_centre.clone(),
        peer,
        caller,
        slots: state.announcement.slots.max(1),
        term: 0,
        witnesses: Vec::new(),
        leaving: false,
        releases: 0,
        link_megabits_per_s: 0,
        fence: state.fence,
    }
}
