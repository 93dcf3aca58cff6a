//! A machine whose link is full.

use std::io;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use rustix::net::AddressFamily;
use rustix::net::SocketType;

/// Time for which the first connection is served and others are not answered.
const BUSY_TIME: Duration = Duration::from_secs(10);

/// A listener that passes its first connection on to `server`, if there is one, and does not answer
/// further ones: its queue is full.
pub fn busy_machine(server: Option<SocketAddr>) -> SocketAddr {
    busy(server, || thread::sleep(BUSY_TIME))
}

/// A listener that takes one connection, says nothing on it, and ends it once `end` is told, or has no sender any more.
pub fn busy_until(end: Receiver<()>) -> SocketAddr {
    busy(None, move || {
        // Its end is told by either.
        let _ = end.recv_timeout(BUSY_TIME);
    })
}

/// A listener that takes one connection and passes it on to `server`, if there is one, until `wait` has ended.
fn busy(server: Option<SocketAddr>, wait: impl FnOnce() + Send + 'static) -> SocketAddr {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None);
    let socket = socket.expect("a socket");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    rustix::net::bind(&socket, &any).expect("a port");
    rustix::net::listen(&socket, 0).expect("a listener");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        let (first, _) = listener.accept().expect("a request");
        if let Some(server) = server {
            pass_on(&first, &TcpStream::connect(server).expect("the server listens"));
        }
        let fill = |_| TcpStream::connect_timeout(&address, Duration::from_millis(100));
        let filling: Vec<_> = (0..4).map(fill).collect();
        wait();
        drop((first, filling, listener));
    });
    address
}

/// Copies bytes and ends both ways between `caller` and `server`.
fn pass_on(caller: &TcpStream, server: &TcpStream) {
    for (from, to) in [(caller, server), (server, caller)] {
        let mut from = from.try_clone().expect("a descriptor");
        let mut to = to.try_clone().expect("a descriptor");
        thread::spawn(move || {
            // An end by a reset is an end.
            let _ = io::copy(&mut from, &mut to);
            let _ = to.shutdown(Shutdown::Both);
        });
    }
}
