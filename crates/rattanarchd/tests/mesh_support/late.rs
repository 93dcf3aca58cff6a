//! A machine at the end of a long queue.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Bytes that are read at a time.
const PART: usize = 16 << 10;

/// A listener that passes its connections on to `server`; bytes and ends take `delay` each way.
pub fn late_machine(server: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            // Without a server the connection ends at once.
            let Ok(server) = TcpStream::connect(server) else { continue };
            for (from, to) in [(&caller, &server), (&server, &caller)] {
                let from = from.try_clone().expect("a descriptor");
                let to = to.try_clone().expect("a descriptor");
                pass_on(from, to, delay);
            }
        }
    });
    address
}

/// Copies bytes and the end of `from` to `to`, each `delay` after it came.
fn pass_on(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (queue, queued) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        loop {
            let mut part = vec![0; PART];
            // An end by a reset is an end.
            let length = from.read(&mut part).unwrap_or_default();
            part.truncate(length);
            if queue.send((Instant::now() + delay, part)).is_err() || length == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, part) in queued {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if part.is_empty() || to.write_all(&part).is_err() {
                // One that has ended already needs no word.
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    });
}
