//! Start, reload of the settings and planned stop of the process.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use rattanarch_adapter::Store;
use rattanarch_admission::CapacityPlan;
use rattanarch_process::Clock;
use rattanarch_process::LogError;
use rattanarch_process::LogOptions;
use rattanarch_process::start_logs;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::connection::Buffers;
use crate::connection::HeldBytes;
use crate::connection::UplinkScheduler;
use crate::control;
use crate::control::Control;
use crate::control::PeerSocket;
use crate::control::Quotas;
use crate::process::ActiveCount;
use crate::process::Phase;
use crate::process::Settings;
use crate::process::SettingsError;
use crate::process::Shared;
use crate::process::lag::Lag;
use crate::process::lag::measure_lag;
use crate::process::listeners::listen;
use crate::process::meters::Meters;
use crate::process::restore::restore_records;
use crate::process::shared::StoreStatus;
use crate::process::stop;
use crate::process::store_follower::StoreFollower;
use crate::process::store_follower::catch_up;
use crate::process::store_follower::run_follower;
use crate::process::usage::log_usage;
use crate::request::Peers;
use crate::upstream::Upstream;
use crate::version::Knowledge;

/// Timeout for writing the last log lines: part of what [`END_RESERVE`] leaves.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval of updates of the phase of a stopping process.
const PHASE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of checks whether the last connections have ended.
const CLOSE_INTERVAL: Duration = Duration::from_millis(10);

/// How long before the platform kills the process it ends, even if responses are still being written.
const END_RESERVE: Duration = Duration::from_millis(150);

/// Why the daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Logging can't be started.
    #[error(transparent)]
    Logs(#[from] LogError),
    /// An address can't be bound, or another system call failed.
    #[error("cannot start: {0}")]
    System(#[from] io::Error),
}

/// Path of the settings file that the platform passes; `None` if the platform did not start the process.
pub fn settings_file() -> Option<PathBuf> {
    std::env::var_os(rattanarch_adapter::SETTINGS_VARIABLE).map(PathBuf::from)
}

/// Runs the daemon with the settings file at `path` until it is asked to stop.
///
/// # Errors
/// See [`StartError`].
pub fn run(path: PathBuf) -> Result<(), StartError> {
    let settings = Settings::read(&path)?;
    start_logs(LogOptions {
        // Checked when the settings were read.
        level: settings.log.level.parse().unwrap_or(log::LevelFilter::Info),
        common: vec![("instance", settings.instance.clone())],
        out: Box::new(io::stdout()),
    })?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, serve(settings, path))
}

async fn serve(settings: Settings, path: PathBuf) -> Result<(), StartError> {
    let stop = signal(SignalKind::terminate())?;
    let reload = signal(SignalKind::hangup())?;
    let shared = create_shared(settings).await?;
    listen(&shared)?;
    let settings = &shared.settings;
    log::info!(service:% = settings.service, data_centre:% = settings.data_centre,
        upstream:% = settings.upstream, store:% = settings.store; "started");
    tokio::task::spawn_local(catch_up(Rc::clone(&shared)));
    tokio::task::spawn_local(run_follower(Rc::clone(&shared)));
    tokio::task::spawn_local(restore_records(Rc::clone(&shared)));
    tokio::task::spawn_local(control::receive(Rc::clone(&shared)));
    tokio::task::spawn_local(control::run(Rc::clone(&shared)));
    tokio::task::spawn_local(control::gossip(Rc::clone(&shared)));
    tokio::task::spawn_local(control::run_quotas(Rc::clone(&shared)));
    tokio::task::spawn_local(control::run_suspects(Rc::clone(&shared)));
    tokio::task::spawn_local(reload_settings(Rc::clone(&shared), reload, path));
    tokio::task::spawn_local(log_usage(Rc::clone(&shared)));
    tokio::task::spawn_local(measure_lag(Rc::clone(&shared)));
    wait_for_stop(&shared, stop).await;
    log::info!("stopped");
    rattanarch_process::flush_logs(LOG_FLUSH_TIMEOUT);
    Ok(())
}

async fn create_shared(settings: Settings) -> io::Result<Rc<Shared>> {
    let clock = Clock;
    let socket = PeerSocket::bind(settings.listen.datagrams).await?;
    let timing = control::timing(settings.heartbeat);
    let (phase, _) = watch::channel(Phase::Open);
    let upstream = Upstream::new(settings.upstream);
    {
        let admission = &mut upstream.state.borrow_mut().admission;
        admission.set_adaptive_pace(settings.adaptive_pace);
        admission.set_retry_schedule(settings.retry_schedule);
    }
    Ok(Rc::new(Shared {
        bounds: Cell::new(settings.bounds()),
        clock,
        meters: Meters::default(),
        store: Store::new(settings.store),
        store_status: Cell::new(StoreStatus::default()),
        knowledge: RefCell::new(Knowledge::default()),
        follower: StoreFollower::default(),
        state_changed: Notify::new(),
        upstream,
        control: RefCell::new(Control::new(timing, clock.now())),
        socket,
        quotas: Quotas::default(),
        quarantine: RefCell::default(),
        peers: Peers::default(),
        held: HeldBytes::new(CapacityPlan::new(settings.memory, settings.descriptors), clock),
        buffers: Buffers::default(),
        uplink: UplinkScheduler::new(settings.link, clock),
        phase,
        lag: Lag::default(),
        active_requests: ActiveCount::default(),
        connections: ActiveCount::default(),
        settings,
    }))
}

/// Interval of checks whether the settings file has changed: it may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings on a signal, or when the file has changed. Only the bounds are applied; all else stays as at
/// the start.
async fn reload_settings(shared: Rc<Shared>, mut reload: Signal, path: PathBuf) {
    let mut seen = modified(&path);
    loop {
        let asked = tokio::time::timeout(SETTINGS_INTERVAL, reload.recv()).await.is_ok();
        let now = modified(&path);
        if !asked && now == seen {
            continue;
        }
        seen = now;
        match Settings::read(&path) {
            Ok(settings) => {
                shared.bounds.set(settings.bounds());
                log::info!("settings reloaded");
            }
            Err(error) => log::error!(reason:% = error; "settings reload failed"),
        }
    }
}

/// When the file was last modified; `None` if that can't be read.
fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|file| file.modified()).ok()
}

/// Waits for the signal to stop, then until the requests in progress have ended or the grace is almost over.
async fn wait_for_stop(shared: &Rc<Shared>, mut stop: Signal) {
    stop.recv().await;
    let asked = shared.now();
    shared.phase.send_replace(Phase::Stopping(asked));
    let grace = shared.bounds.get().grace;
    loop {
        let busy = requests_in_progress(shared);
        let phase = stop::phase(shared.now(), asked, grace, busy);
        let before = shared.phase.send_replace(phase);
        if before != phase {
            log::info!(phase:? = phase, busy = busy; "stopping");
        }
        if phase == Phase::Closing {
            break;
        }
        tokio::time::sleep(PHASE_INTERVAL).await;
    }
    // Idle connections close at once, the others once their responses are written.
    let end = asked + grace.saturating_sub(END_RESERVE);
    loop {
        // Listeners first accept the connections that are already established.
        tokio::time::sleep(CLOSE_INTERVAL).await;
        if shared.connections.get() == 0 && requests_in_progress(shared) == 0 || shared.now() >= end
        {
            return;
        }
    }
}

/// Number of requests in progress: those of callers and peers, and those that run on although their callers have
/// disconnected.
fn requests_in_progress(shared: &Shared) -> usize {
    let running = shared.upstream.state.borrow().admission.running() as usize;
    shared.active_requests.get().max(running)
}
