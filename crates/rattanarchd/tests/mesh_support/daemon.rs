//! A daemon in a process of its own.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// Addresses on one machine: those of the daemon and that of its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub datagrams: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
    pub upstream: SocketAddr,
}

/// Last byte of the address of the next machine of this test process.
static NEXT_MACHINE: AtomicU8 = AtomicU8::new(1);

impl Addresses {
    /// Allocates a loopback address that no other test process uses, so that connections of other tests
    /// can't occupy its ports.
    pub fn allocate() -> Self {
        let [_, high, middle, low] = std::process::id().to_be_bytes();
        let network = (middle ^ high.rotate_left(4)).max(1);
        let ip = Ipv4Addr::new(127, network, low, NEXT_MACHINE.fetch_add(1, Ordering::Relaxed));
        let address = |port: u16| SocketAddr::from((ip, port));
        Self {
            callers: address(8_147),
            peers: address(8_146),
            datagrams: address(7_380),
            ready: address(8_141),
            control: address(8_144),
            metrics: address(9_464),
            upstream: address(8_145),
        }
    }
}

/// A daemon process, which is killed when this is dropped. Its log is kept if the test has panicked.
pub struct Daemon {
    pub addresses: Addresses,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Rate of a machine's link in megabits per second: it delays only responses of tens of kilobytes.
const LINK_MEGABITS: f64 = 8.0;

impl Daemon {
    /// Starts the daemon of the slot `instance`, whose upstream belongs to `service`.
    pub fn start(
        instance: &str,
        service: &str,
        centre: &str,
        addresses: Addresses,
        store: SocketAddr,
    ) -> Self {
        let directory =
            std::env::temp_dir().join(format!("rattanarch-mesh-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let unique = format!("{instance}-{}", addresses.peers.ip());
        let settings = directory.join(format!("{unique}.toml"));
        let log = directory.join(format!("{unique}.log"));
        let Addresses { callers, peers, datagrams, ready, control, metrics, upstream } = addresses;
        let text = format!(
            "instance = \"{instance}\"\ndata_centre = \"{centre}\"\nservice = \"{service}\"\n\
             upstream = \"{upstream}\"\nheartbeat = \"200ms\"\nstore = \"{store}\"\n\
             link = {LINK_MEGABITS}\n\
             bounds = [\"grace=6s\", \"drain=2s\", \"quota_window=5s\", \"quota_excess=0.1\", \
             \"quota_slack=20\"]\nunheard_of = 5\n\
             [listen]\ncallers = \"{callers}\"\npeers = \"{peers}\"\ndatagrams = \"{datagrams}\"\n\
             ready = \"{ready}\"\nupstream = \"{control}\"\nmetrics = \"{metrics}\"\n\
             [log]\nlevel = \"info\"\nsample = 1\n"
        );
        fs::write(&settings, text).unwrap();
        let child = spawn(&settings, &log);
        Self { addresses, settings, log, child }
    }

    /// Sets the interval between heartbeats that it expects after the next restart, such as `200ms`.
    pub fn set_heartbeat_interval(&self, interval: &str) {
        let text = fs::read_to_string(&self.settings).unwrap();
        let text = text.replace("heartbeat = \"200ms\"", &format!("heartbeat = \"{interval}\""));
        fs::write(&self.settings, text).unwrap();
    }

    /// Has slices move by gain and cost after the next restart.
    pub fn set_cost_based_moves(&self) {
        let text = fs::read_to_string(&self.settings).unwrap();
        fs::write(&self.settings, format!("cost_based_moves = true\n{text}")).unwrap();
    }

    /// Enables the retry schedule after the next restart.
    pub fn set_retry_schedule(&self) {
        let text = fs::read_to_string(&self.settings).unwrap();
        fs::write(&self.settings, format!("retry_schedule = true\n{text}")).unwrap();
    }

    /// Sets the memory of its machine in MB and its descriptors, which are in force after the next restart.
    pub fn set_machine(&self, memory: usize, descriptors: usize) {
        let text = fs::read_to_string(&self.settings).unwrap();
        fs::write(
            &self.settings,
            format!("memory = {memory}\ndescriptors = {descriptors}\n{text}"),
        )
        .unwrap();
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends the signal for a planned stop.
    pub fn stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process for `duration`.
    pub fn pause(&self, duration: Duration) {
        self.signal(Signal::STOP);
        std::thread::sleep(duration);
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits up to `limit` for the process to exit; returns `None` if it still runs.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Returns its resident memory in bytes.
    pub fn resident_bytes(&self) -> usize {
        self.status_bytes("VmRSS:")
    }

    /// Returns the largest resident memory in bytes that the process has had.
    pub fn peak_resident_bytes(&self) -> usize {
        self.status_bytes("VmHWM:")
    }

    /// Returns the number of descriptors that it has open.
    pub fn open_descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    fn status_bytes(&self, name: &str) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        let kilobytes: usize = line.trim().trim_end_matches(" kB").parse().unwrap();
        kilobytes << 10
    }

    /// Returns all that it has logged, also before restarts.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("log kept: {}", self.log.display());
        } else {
            let _ = fs::remove_file(&self.log);
            let _ = fs::remove_file(&self.settings);
        }
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let out = fs::File::options().create(true).append(true).open(log).unwrap();
    let errors = out.try_clone().unwrap();
    Command::new(env!("CARGO_BIN_EXE_rattanarchd"))
        .arg("--platform")
        .arg("--config")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(errors)
        .spawn()
        .unwrap()
}
