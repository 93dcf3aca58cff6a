//! Starts the parts of the daemon and ends them in order.

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

use crate::connection::CallerServer;
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
use crate::process::Reports;
use crate::process::Settings;
use crate::process::UpstreamControl;
use crate::process::fence_earlier_lives;
use crate::process::stop_signal;
use crate::process::upstream_control::ClockReading;
use crate::request::RequestHandler;
use crate::request::RequestSettings;
use crate::version::Views;

/// Threads that carry requests; the control loop has its own, which requests can't hold up.
const REQUEST_THREADS: usize = 2;
/// Wait between two questions to an upstream that has not announced itself yet.
const ANNOUNCE_WAIT: Duration = Duration::from_millis(100);

/// Why the daemon ended other than by a planned stop.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An address can't be listened at.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The operators' server can't start.
    #[error(transparent)]
    Operators(#[from] ServerError),
    /// The operating system refused a thread, a socket or a signal handler.
    #[error("operating system refused a resource: {0}")]
    Resource(#[from] std::io::Error),
    /// The upstream beside the daemon serves something else than the settings say.
    #[error("upstream announces service {announced:?}; the settings name service {expected:?}")]
    WrongService {
        /// What the upstream says.
        announced: String,
        /// What the settings say.
        expected: String,
    },
    /// A later process in this slot has taken the upstream.
    #[error("a later process in this slot has taken the upstream")]
    Superseded,
    /// The planned stop took longer than the settings allow.
    #[error("stop did not end within {0:?}: ownership was not given up by the record")]
    StopLate(Duration),
}

/// Runs the daemon until a planned stop has ended.
///
/// # Errors
/// See [`RunError`].
pub fn run(settings: Settings) -> Result<(), RunError> {
    let stop = stop_signal()?;
    let listeners = Listeners::open(&settings.listen)?;
    let upstream = UpstreamControl::new(settings.upstream.address);
    let Some(upstream_state) = await_upstream(&upstream, &settings, &stop)? else { return Ok(()) };
    Daemon::start(settings, listeners, upstream, &upstream_state)?.run(&stop)
}

/// What the upstream said at the start.
pub(crate) struct UpstreamState {
    /// What it announced.
    pub(crate) announcement: Announcement,
    /// A reading of its clock.
    pub(crate) reading: ClockReading,
    /// Fence of this process that it has taken.
    pub(crate) fence: Fence,
}

/// Waits until the upstream announces itself and refuses every earlier life of this daemon;
/// `None` when the process is to stop first.
fn await_upstream(
    upstream: &UpstreamControl,
    settings: &Settings,
    stop: &std::sync::mpsc::Receiver<()>,
) -> Result<Option<UpstreamState>, RunError> {
    let mut told = false;
    loop {
        let state = upstream.announcement().and_then(|announcement| {
            let (reading, fence) = fence_earlier_lives(upstream)?;
            Ok(UpstreamState { announcement, reading, fence })
        });
        match state {
            Ok(state) => return check_service(state, settings).map(Some),
            Err(error) if !told => {
                log::info!(reason:% = error; "waiting for the upstream");
                told = true;
            }
            Err(_) => {}
        }
        if stop.recv_timeout(ANNOUNCE_WAIT).is_ok() {
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

/// The running parts of the daemon.
struct Daemon {
    settings: Settings,
    requests: Runtime,
    callers: CallerServer,
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
        let requests = Builder::new_multi_thread()
            .worker_threads(REQUEST_THREADS)
            .thread_name("requests")
            .enable_all()
            .build()?;
        let path = RequestHandler::new(request_settings(&settings, state), views.clone(), Clock);
        let callers = CallerServer::start(requests.handle(), listeners.caller, Arc::clone(&path))?;
        let platform = Platform::new(&*settings.platform.address, &*settings.platform.token)
            .with_timeout(Duration::from_millis(settings.platform.timeout_ms));
        let (inputs, received) = unbounded_channel();
        let fleet = PeerFleet {
            reports: Reports::default(),
            views: views.clone(),
            requests: Arc::clone(&path),
            slots: state.announcement.slots,
            counters: Arc::new(Counters::default()),
            codec: Codec::new(settings.peers.secret.as_bytes()),
            platform: platform.clone(),
            runtime: requests.handle().clone(),
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
        let control = start.spawn(listeners.peer_udp, listeners.peer_tcp, received)?;
        Ok(Self { settings, requests, callers, control, inputs, _operators: operators })
    }

    /// Runs until the process is to stop, and stops: ownership is given up first, while requests
    /// still run; then callers are served out.
    fn run(self, stop: &std::sync::mpsc::Receiver<()>) -> Result<(), RunError> {
        self.await_stop(stop);
        let within = self.settings.stop_within();
        let deadline = Instant::now() + within;
        let _ = self.inputs.send(Input::Stop);
        while !self.control.is_finished() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(10));
        }
        let left = self.control.is_finished();
        let rest = deadline.saturating_duration_since(Instant::now());
        let served_out = self.requests.block_on(self.callers.stop(rest.max(MIN_SERVE_OUT)));
        log::info!(left = left, served_out = served_out; "stopped");
        if !left {
            return Err(RunError::StopLate(within));
        }
        match self.control.join() {
            Ok(ControlEnd::Left) => Ok(()),
            Ok(ControlEnd::Superseded) => Err(RunError::Superseded),
            Err(_) => Err(std::io::Error::other("control loop panicked").into()),
        }
    }

    fn await_stop(&self, stop: &std::sync::mpsc::Receiver<()>) {
        while !self.control.is_finished() {
            if stop.recv_timeout(STOP_POLL).is_ok() {
                return;
            }
        }
    }
}

/// How often the end of the control loop is looked for.
const STOP_POLL: Duration = Duration::from_millis(100);
/// Least time that callers get to take their answers, also when the stop is late.
const MIN_SERVE_OUT: Duration = Duration::from_secs(1);

fn start_operators(settings: &Settings, fleet: &Arc<PeerFleet>) -> Result<Server, ServerError> {
    let (views, platform) = (fleet.views.clone(), fleet.platform.clone());
    let fleet = Arc::clone(fleet) as Arc<dyn Fleet>;
    let api = OperatorApi::new(settings.process.clone(), views, platform, fleet);
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
        link: 0,
        fence: state.fence,
    }
}
