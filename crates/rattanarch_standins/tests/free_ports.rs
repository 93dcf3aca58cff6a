//! Addresses for processes of a fleet.

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

/// Threads that start processes; more than one, since each start is short.
const STARTERS: usize = 4;

/// Held by each test: all addresses of a process come from one sequence.
static SEQUENCE: Mutex<()> = Mutex::new(());

/// Addresses taken while processes start; looks that bind fail for about one in fifty.
const ADDRESSES: usize = 500;

fn start_process() {
    let mut command = Command::new("true");
    let status = command.stdout(Stdio::null()).status();
    assert!(status.is_ok_and(|status| status.success()), "a process that starts and ends");
}

/// A starting process holds copies of all open sockets until it runs its program.
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
    assert_eq!(failed, 0, "addresses that could not be bound");
}

/// A port on which a server listens is passed over.
#[test]
fn taken_ports() {
    let _sequence = SEQUENCE.lock().unwrap_or_else(PoisonError::into_inner);
    let first = ports::free_address().expect("an address");
    let mut next = first;
    next.set_port(first.port() + 1);
    let _server = TcpListener::bind(next).expect("a listener");
    let second = ports::free_address().expect("an address");
    assert_ne!(second, next);
}
