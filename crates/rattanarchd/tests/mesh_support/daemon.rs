//! A daemon as a process.

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

/// Addresses of one machine.
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

/// Machines of this process so far.
static MACHINES: AtomicU8 = AtomicU8::new(1);

impl Addresses {
    /// Addresses of a machine of its own: a loopback address that no other test process has, so that
    /// no connection of another test takes one of its ports.
    pub fn draw() -> Self {
        let [_, high, middle, low] = std::process::id().to_be_bytes();
        let network = (middle ^ high.rotate_left(4)).max(1);
        let ip = Ipv4Addr::new(127, network, low, MACHINES.fetch_add(1, Ordering::Relaxed));
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

/// A daemon and its settings.
pub struct Daemon {
    pub addresses: Addresses,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Rate of a machine's link in megabits a second: it binds only answers of tens of kilobytes.
const LINK: f64 = 8.0;

impl Daemon {
    /// Starts the daemon of the slot `instance`, beside an upstream of `service`.
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
             link = {LINK}\n\
             bounds = [\"grace=6s\", \"drain=2s\"]\nunheard_of = 5\n\
             [listen]\ncallers = \"{callers}\"\npeers = \"{peers}\"\ndatagrams = \"{datagrams}\"\n\
             ready = \"{ready}\"\nupstream = \"{control}\"\nmetrics = \"{metrics}\"\n\
             [log]\nlevel = \"info\"\nsample = 1\n"
        );
        fs::write(&settings, text).unwrap();
        let child = spawn(&settings, &log);
        Self { addresses, settings, log, child }
    }

    /// Sets the time between two heartbeats that it expects from its next start on.
    pub fn expect_heartbeat(&self, time: &str) {
        let text = fs::read_to_string(&self.settings).unwrap();
        let text = text.replace("heartbeat = \"200ms\"", &format!("heartbeat = \"{time}\""));
        fs::write(&self.settings, text).unwrap();
    }

    /// Starts it again after its end.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Asks it to stop.
    pub fn stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Gives it no processor time for `time`.
    pub fn pause(&self, time: Duration) {
        self.signal(Signal::STOP);
        std::thread::sleep(time);
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits for its end.
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

    /// Memory that it has in use, in bytes.
    pub fn memory(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        let kilobytes: usize = line.trim().trim_end_matches(" kB").parse().unwrap();
        kilobytes << 10
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // One that has ended needs no signal.
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
