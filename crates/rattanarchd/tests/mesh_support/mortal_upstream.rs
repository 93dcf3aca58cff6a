//! An upstream that ends when it is killed, or when it begins to run a request that is deadly to it.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rattanarch_adapter_standins::Upstream;

use super::Addresses;
use super::faulty_proxy::read_message;

/// Time for which a deadly request runs before the upstream ends.
const DEADLY_WORK: Duration = Duration::from_millis(20);

/// Time from the end of a life to the start of the next.
const DOWN_TIME: Duration = Duration::from_millis(700);

/// Interval at which the listener looks for connections and for the end of its life.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// A request that reached an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MortalArrival {
    pub path: String,
    pub at: Instant,
}

/// An upstream of one machine, in front of whose lives a listener relays requests.
pub struct MortalUpstream {
    shared: Arc<Shared>,
    runner: Option<JoinHandle<()>>,
}

struct Shared {
    service: String,
    instance: String,
    addresses: Addresses,
    /// Parts of the paths of requests that end it.
    deadly: Mutex<Vec<String>>,
    arrivals: Mutex<Vec<MortalArrival>>,
    ends: Mutex<Vec<Instant>>,
    streams: Mutex<Vec<TcpStream>>,
    life: Mutex<Option<Upstream>>,
    lives: AtomicU32,
    work: Mutex<Duration>,
    /// Set when the present life is to end.
    killed: AtomicBool,
    stopped: AtomicBool,
}

impl MortalUpstream {
    /// Starts the upstream of the slot `instance`, which ends at requests whose path contains one of `deadly`.
    pub fn start(service: &str, instance: &str, addresses: Addresses, deadly: &[&str]) -> Self {
        let shared = Arc::new(Shared {
            service: service.to_owned(),
            instance: instance.to_owned(),
            addresses,
            deadly: Mutex::new(deadly.iter().map(|part| (*part).to_owned()).collect()),
            arrivals: Mutex::default(),
            ends: Mutex::default(),
            streams: Mutex::default(),
            life: Mutex::default(),
            lives: AtomicU32::new(0),
            work: Mutex::new(Duration::from_millis(5)),
            killed: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        });
        shared.start_life();
        let runner = {
            let shared = Arc::clone(&shared);
            Some(thread::spawn(move || shared.run()))
        };
        Self { shared, runner }
    }

    /// Returns the requests that reached it in all its lives, whether they ran or not.
    pub fn arrivals(&self) -> Vec<MortalArrival> {
        self.shared.arrivals.lock().unwrap().clone()
    }

    /// Returns when its lives ended.
    pub fn ends(&self) -> Vec<Instant> {
        self.shared.ends.lock().unwrap().clone()
    }

    /// Ends the present life.
    pub fn kill(&self) {
        self.shared.killed.store(true, Ordering::SeqCst);
    }

    /// Sets how long a request takes to run, in this life and all further ones.
    pub fn set_work(&self, work: Duration) {
        *self.shared.work.lock().unwrap() = work;
        if let Some(life) = &*self.shared.life() {
            life.set_work(work);
        }
    }

    /// Sets the parts of paths of requests that end it.
    pub fn set_deadly(&self, deadly: &[&str]) {
        let deadly = deadly.iter().map(|part| (*part).to_owned()).collect();
        *self.shared.deadly.lock().unwrap() = deadly;
    }

    /// Whether a life runs.
    pub fn is_up(&self) -> bool {
        self.shared.life().is_some()
    }

    /// Returns the number of keys that it holds now.
    pub fn held_keys(&self) -> usize {
        self.shared.life().as_ref().map_or(0, Upstream::held_keys)
    }
}

impl Drop for MortalUpstream {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        if let Some(runner) = self.runner.take() {
            runner.join().unwrap();
        }
    }
}

impl Shared {
    fn life(&self) -> MutexGuard<'_, Option<Upstream>> {
        self.life.lock().unwrap()
    }

    /// Address at which the present life itself listens.
    fn inner_address(&self) -> SocketAddr {
        let mut inner = self.addresses.upstream;
        inner.set_port(inner.port() + 1_000);
        inner
    }

    fn start_life(&self) {
        let number = self.lives.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("i-{}-{number}", self.instance);
        let addresses = (self.inner_address(), self.addresses.upstream);
        let life = Upstream::start_behind(&self.service, &id, addresses, self.addresses.control);
        life.set_work(*self.work.lock().unwrap());
        *self.life() = Some(life);
    }

    /// Runs one life after the other.
    fn run(self: &Arc<Self>) {
        while !self.stopped.load(Ordering::SeqCst) {
            self.relay_life();
            for stream in self.streams.lock().unwrap().drain(..) {
                // The daemon may have closed it.
                let _ = stream.shutdown(Shutdown::Both);
            }
            let ended = Instant::now();
            let life = self.life().take();
            drop(life);
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            self.ends.lock().unwrap().push(ended);
            thread::sleep(DOWN_TIME.saturating_sub(ended.elapsed()));
            self.killed.store(false, Ordering::SeqCst);
            self.start_life();
        }
    }

    /// Relays requests until the present life ends.
    fn relay_life(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.addresses.upstream).unwrap();
        listener.set_nonblocking(true).unwrap();
        while !self.killed.load(Ordering::SeqCst) && !self.stopped.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    self.streams.lock().unwrap().push(stream.try_clone().unwrap());
                    let shared = Arc::clone(self);
                    thread::spawn(move || shared.relay(stream));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(ACCEPT_INTERVAL);
                }
                Err(error) => panic!("upstream can't accept: {error}"),
            }
        }
    }

    /// Relays the requests of one connection.
    fn relay(&self, mut daemon: TcpStream) -> Option<()> {
        let mut upstream = TcpStream::connect(self.inner_address()).ok()?;
        loop {
            let request = read_message(&mut daemon)?;
            let head = String::from_utf8_lossy(&request);
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let deadly = self.deadly.lock().unwrap().iter().any(|part| path.contains(part));
            let arrival = MortalArrival { path, at: Instant::now() };
            self.arrivals.lock().unwrap().push(arrival);
            if deadly {
                thread::sleep(DEADLY_WORK);
                self.killed.store(true, Ordering::SeqCst);
                // The end of the life closes the connection.
                let _ = daemon.read(&mut [0]);
                return None;
            }
            upstream.write_all(&request).ok()?;
            let response = read_message(&mut upstream)?;
            daemon.write_all(&response).ok()?;
        }
    }
}
