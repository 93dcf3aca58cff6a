//! A proxy between the daemons and the store, which can hold one write of an ownership record.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Recorder;

/// Path of the service's ownership record.
const RECORD: &str = "/objects/rattanarch-records/trade-desk";

/// What becomes of the writes of the record.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Plan {
    #[default]
    Pass,
    /// This many more pass, and the one after them is executed this much later and not answered.
    Hold(usize, Duration),
}

/// The proxy; its clones share the plan.
#[derive(Clone)]
pub struct Gate {
    pub address: SocketAddr,
    store: SocketAddr,
    plan: Arc<Mutex<Plan>>,
    /// Number of writes that were held, and of those of them that were executed.
    held: Arc<Mutex<(usize, usize)>>,
    record: Recorder,
}

impl Gate {
    /// Starts a proxy to `store`.
    pub fn start(record: &Recorder, store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (plan, held) = (Arc::default(), Arc::default());
        let gate = Self { address, store, plan, held, record: record.clone() };
        let accepting = gate.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let gate = accepting.clone();
                thread::spawn(move || {
                    // A connection that breaks ends its calls.
                    let _ = gate.forward(stream);
                });
            }
        });
        gate
    }

    /// Lets `passing` more writes of the record pass, and has the next one executed after `delay` and not answered.
    pub fn hold_write(&self, passing: usize, delay: Duration) {
        *self.plan.lock().unwrap() = Plan::Hold(passing, delay);
    }

    /// Number of writes that were held.
    pub fn held(&self) -> usize {
        self.held.lock().unwrap().0
    }

    /// Number of held writes that the store has executed.
    pub fn executed(&self) -> usize {
        self.held.lock().unwrap().1
    }

    fn forward(&self, mut client: TcpStream) -> io::Result<()> {
        client.set_nodelay(true)?;
        let mut store = TcpStream::connect(self.store)?;
        store.set_nodelay(true)?;
        let mut back = store.try_clone()?;
        let mut answers = client.try_clone()?;
        thread::spawn(move || {
            let _ = io::copy(&mut back, &mut answers);
            let _ = answers.shutdown(std::net::Shutdown::Both);
        });
        while let Some(head) = http::read_head(&mut client)? {
            let mut body = vec![0; head.length()];
            client.read_exact(&mut body)?;
            let mut call = format!("{}\r\n", head.line).into_bytes();
            for (name, value) in &head.fields {
                call.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
            }
            call.extend_from_slice(b"\r\n");
            call.extend_from_slice(&body);
            if head.line.starts_with(&format!("PUT {RECORD}")) {
                self.record.line(&format!("a daemon writes the record, {} bytes", body.len()));
                if let Some(delay) = self.take_delay() {
                    self.execute_late(call, delay);
                    // The connection returns nothing further.
                    thread::sleep(Duration::from_secs(60));
                    return Ok(());
                }
            }
            store.write_all(&call)?;
        }
        store.shutdown(std::net::Shutdown::Write)
    }

    /// The delay of the write that has just come, if it is to be held.
    fn take_delay(&self) -> Option<Duration> {
        let mut plan = self.plan.lock().unwrap();
        let Plan::Hold(passing, delay) = *plan else { return None };
        if passing > 0 {
            *plan = Plan::Hold(passing - 1, delay);
            return None;
        }
        *plan = Plan::Pass;
        self.held.lock().unwrap().0 += 1;
        self.record.say(&format!("a write of the record will be executed {delay:?} later"));
        Some(delay)
    }

    fn execute_late(&self, call: Vec<u8>, delay: Duration) {
        let gate = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            let status = gate.execute(&call);
            let done = status.as_ref().is_ok_and(|status| status / 100 == 2);
            gate.held.lock().unwrap().1 += usize::from(done);
            gate.record
                .say(&format!("the late write: {status:?} (409: its condition doesn't hold)"));
        });
    }

    fn execute(&self, call: &[u8]) -> io::Result<u16> {
        let mut store = TcpStream::connect(self.store)?;
        store.set_read_timeout(Some(Duration::from_secs(2)))?;
        store.write_all(call)?;
        let head = http::read_head(&mut store)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(head.status())
    }
}
