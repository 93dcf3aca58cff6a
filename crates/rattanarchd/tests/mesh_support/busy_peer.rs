//! A peer that accepts no new connections.

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

/// How long the first connection is served while others are not accepted.
const BUSY_DURATION: Duration = Duration::from_secs(10);

/// Starts a listener that forwards its first connection to `server`, if there is one, and accepts no
/// further ones, since its backlog is full. Returns its address.
pub fn busy_peer(server: Option<SocketAddr>) -> SocketAddr {
    start(server, || thread::sleep(BUSY_DURATION))
}

/// Starts a listener that accepts one connection, sends nothing on it, and closes it once `end`
/// receives a message or loses its sender. Returns its address.
pub fn busy_peer_until(end: Receiver<()>) -> SocketAddr {
    start(None, move || {
        // A message, a lost sender and the timeout all end it.
        let _ = end.recv_timeout(BUSY_DURATION);
    })
}

/// Starts a listener that accepts one connection and forwards it to `server`, if there is one, until
/// `wait` returns.
fn start(server: Option<SocketAddr>, wait: impl FnOnce() + Send + 'static) -> SocketAddr {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None);
    let socket = socket.expect("socket is created");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    rustix::net::bind(&socket, &any).expect("a port is free");
    rustix::net::listen(&socket, 0).expect("socket listens");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("listener is bound");
    thread::spawn(move || {
        let (first, _) = listener.accept().expect("a peer connects");
        if let Some(server) = server {
            forward(&first, &TcpStream::connect(server).expect("server accepts connections"));
        }
        // Connections that nobody accepts fill the backlog.
        let fill = |_| TcpStream::connect_timeout(&address, Duration::from_millis(100));
        let filling: Vec<_> = (0..4).map(fill).collect();
        wait();
        drop((first, filling, listener));
    });
    address
}

/// Copies bytes between `client` and `server` in both directions, and closes each when the other ends.
fn forward(client: &TcpStream, server: &TcpStream) {
    for (from, to) in [(client, server), (server, client)] {
        let mut from = from.try_clone().expect("stream is cloned");
        let mut to = to.try_clone().expect("stream is cloned");
        thread::spawn(move || {
            // A reset counts as the end of the stream.
            let _ = io::copy(&mut from, &mut to);
            let _ = to.shutdown(Shutdown::Both);
        });
    }
}
