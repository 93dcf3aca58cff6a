//! A proxy that delays all data.

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

/// Largest number of bytes that are read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Starts a proxy for `server` that delays bytes and the ends of connections by `delay` in each
/// direction. Returns its address.
pub fn delayed_proxy(server: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    let address = listener.local_addr().expect("listener is bound");
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            // If the server accepts no connection, that of the client is closed at once.
            let Ok(server) = TcpStream::connect(server) else { continue };
            for (from, to) in [(&client, &server), (&server, &client)] {
                let from = from.try_clone().expect("stream is cloned");
                let to = to.try_clone().expect("stream is cloned");
                forward(from, to, delay);
            }
        }
    });
    address
}

/// Copies the bytes and the end of `from` to `to`, each `delay` after it arrived.
fn forward(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (queue, queued) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            // A reset counts as the end of the stream.
            let length = from.read(&mut chunk).unwrap_or_default();
            chunk.truncate(length);
            if queue.send((Instant::now() + delay, chunk)).is_err() || length == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, chunk) in queued {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if chunk.is_empty() || to.write_all(&chunk).is_err() {
                // The other side may have closed the connection already.
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    });
}
