//! The sockets that the daemon listens at.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

use crate::process::ListenSettings;

/// Tries to find a port that is free for both UDP and TCP, when the settings ask for a free one.
const PORT_TRIES: usize = 64;

/// A socket that could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen at {address} ({field}): {source}")]
pub struct ListenError {
    field: &'static str,
    address: SocketAddr,
    source: std::io::Error,
}

/// Open sockets; all non-blocking. The operators' server opens its own.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub caller: TcpListener,
    /// For bulk exchanges of peers.
    pub peer_tcp: TcpListener,
    /// For datagrams of peers; the same port as `peer_tcp`.
    pub peer_udp: UdpSocket,
}

impl Listeners {
    /// Opens every socket, or none.
    ///
    /// # Errors
    /// The first socket that can't be opened, with its settings field.
    pub fn open(settings: &ListenSettings) -> Result<Self, ListenError> {
        let caller = open_tcp("listen.caller", settings.caller)?;
        let (peer_tcp, peer_udp) = open_pair(settings.peer)?;
        Ok(Self { caller, peer_tcp, peer_udp })
    }

    /// Addresses as bound: caller, peer.
    ///
    /// # Errors
    /// When the operating system does not tell them.
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
    let tries = if address.port() == 0 { PORT_TRIES } else { 1 };
    let mut last = None;
    for _ in 0..tries {
        let tcp = open_tcp(field, address)?;
        let open = || {
            let udp = UdpSocket::bind(tcp.local_addr()?)?;
            udp.set_nonblocking(true)?;
            Ok(udp)
        };
        match open() {
            Ok(udp) => return Ok((tcp, udp)),
            Err(source) => last = Some(source),
        }
    }
    let source = last.unwrap_or_else(|| std::io::Error::other("no port was tried"));
    Err(ListenError { field, address, source })
}
