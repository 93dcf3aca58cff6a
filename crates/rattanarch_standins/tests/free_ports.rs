//! Free addresses for the processes of a fleet.
//!
//! A search that binds ports would fail at times: a process that is being started holds copies of all
//! open sockets until it executes its program, so that a port which the search has closed is still in use
//! when the server binds it.

#[path = "../src/fixture/ports.rs"]
mod ports;

use std::net::TcpListener;
use std::net::UdpSocket;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

/// Number of threads that start processes; each start is short, so several must overlap.
const STARTERS: usize = 4;

/// Held by each test, since all addresses of a process come from one sequence.
static SEQUENCE: Mutex<()> = Mutex::new(());

/// Number of addresses allocated while processes start; a search that binds ports fails for about one
/// in 50.
const ADDRESSES: usize = 500;

fn start_process() {
    let mut command = Command::new("true");
    let status = command.stdout(Stdio::null()).status();
    assert!(status.is_ok_and(|status| status.success()), "the process failed");
}

#[test]
fn starting_processes() {
    let _sequence = SEQUENCE.lock().unwrap_or_else(PoisonError::into_inner);
    let ended = AtomicBool::new(false);
    let failed = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !ended.load(Ordering::Relaxed) {
                    start_process();
                }
            });
        }
        let bind = || {
            let address = ports::free_address().expect("an address");
            TcpListener::bind(address).and_then(|_| UdpSocket::bind(address)).err()
        };
        let failed = (0..ADDRESSES).filter_map(|_| bind()).count();
        ended.store(true, Ordering::Relaxed);
        failed
    });
    assert_eq!(failed, 0, "some addresses could not be bound");
}

#[test]
fn port_in_use() {
    let _sequence = SEQUENCE.lock().unwrap_or_else(PoisonError::into_inner);
    let first = ports::free_address().expect("an address");
    let mut next = first;
    next.set_port(first.port() + 1);
    let _server = TcpListener::bind(next).expect("a listener");
    let second = ports::free_address().expect("an address");
    assert_ne!(second, next);
}
