//! The sockets on which the daemon listens.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

use crate::process::ListenSettings;

/// Number of attempts to find a port that is free for both UDP and TCP, if the settings specify port 0.
const PORT_ATTEMPTS: usize = 64;

/// Error for a socket that can't be opened.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen at {address} ({field}): {source}")]
pub struct ListenError {
    field: &'static str,
    address: SocketAddr,
    source: std::io::Error,
}

/// Open, non-blocking sockets. The operators' server opens its own.
#[derive(Debug)]
pub struct Listeners {
    /// Socket for callers.
    pub caller: TcpListener,
    /// Socket for pulls by peers.
    pub peer_tcp: TcpListener,
    /// Socket for datagrams of peers; on the same port as `peer_tcp`.
    pub peer_udp: UdpSocket,
}

impl Listeners {
    /// Opens all sockets, or none.
    ///
    /// # Errors
    /// Returns the first socket that can't be opened, with its settings field.
    pub fn open(settings: &ListenSettings) -> Result<Self, ListenError> {
        let caller = open_tcp("listen.caller", settings.caller)?;
        let (peer_tcp, peer_udp) = open_pair(settings.peer)?;
        Ok(Self { caller, peer_tcp, peer_udp })
    }

    /// Bound addresses of the caller socket and the peer sockets.
    ///
    /// # Errors
    /// If the operating system does not return them.
    pub fn addresses(&self) -> std::io::Result<(SocketAddr, SocketAddr)> {
        Ok((self.caller.local_addr()?, self.peer_tcp.local_addr()?))
    }
}

fn open_tcp(field: &'static str, address: SocketAddr) -> Result<TcpListener, ListenError> {
    let open = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    open().map_err(|source| ListenError { field, address, source })
}

fn open_pair(address: SocketAddr) -> Result<(TcpListener, UdpSocket), ListenError> {
    let field = "listen.peer";
    let attempts = if address.port() == 0 { PORT_ATTEMPTS } else { 1 };
    let mut last_error = None;
    for _ in 0..attempts {
        let tcp = open_tcp(field, address)?;
        let open = || {
            let udp = UdpSocket::bind(tcp.local_addr()?)?;
            udp.set_nonblocking(true)?;
            Ok(udp)
        };
        match open() {
            Ok(udp) => return Ok((tcp, udp)),
            Err(source) => last_error = Some(source),
        }
    }
    let source = last_error.unwrap_or_else(|| std::io::Error::other("no attempt was made"));
    Err(ListenError { field, address, source })
}
