//! A proxy between a daemon and its upstream that spoils responses.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

/// What the proxy does with responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// Writes the last refusal of a connection once more before the next response on it.
    RepeatRefusal,
    /// Closes the connection after this many bytes of a response's head, counted from its end.
    CutHead(usize),
    /// Writes this in place of the status code of responses.
    Status(&'static str),
}

/// A handle to set the fault of a proxy.
pub type FaultSwitch = Arc<Mutex<Fault>>;

/// Starts a proxy at `address` in front of the upstream at `upstream`, without a fault yet.
pub fn faulty_proxy(address: SocketAddr, upstream: SocketAddr) -> FaultSwitch {
    let listener = TcpListener::bind(address).unwrap();
    let fault = Arc::new(Mutex::new(Fault::None));
    let switch = Arc::clone(&fault);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let fault = Arc::clone(&fault);
            thread::spawn(move || relay(stream.unwrap(), upstream, &fault));
        }
    });
    switch
}

/// Relays requests and responses one after the other until either side closes.
fn relay(mut daemon: TcpStream, address: SocketAddr, fault: &Mutex<Fault>) -> Option<()> {
    let mut upstream = TcpStream::connect(address).ok()?;
    let mut refusal: Option<Vec<u8>> = None;
    loop {
        let request = read_message(&mut daemon)?;
        let fault = *fault.lock().unwrap();
        if fault == Fault::RepeatRefusal
            && let Some(refusal) = &refusal
        {
            // The daemon may close the connection at this; the request runs all the same.
            let _ = daemon.write_all(refusal);
        }
        upstream.write_all(&request).ok()?;
        let response = read_message(&mut upstream)?;
        if response.starts_with(b"HTTP/1.1 503") {
            refusal = Some(response.clone());
        }
        if let Fault::CutHead(missing) = fault {
            let head = head_length(&response)?;
            daemon.write_all(&response[..head - missing]).ok()?;
            return None;
        }
        match fault {
            Fault::Status(code) => daemon.write_all(&with_status(&response, code)).ok()?,
            _ => daemon.write_all(&response).ok()?,
        }
    }
}

/// The response with `code` in place of its status code.
fn with_status(response: &[u8], code: &str) -> Vec<u8> {
    let (version, rest) = response.split_at(b"HTTP/1.1 ".len());
    [version, code.as_bytes(), &rest[b"200".len()..]].concat()
}

/// Length of a message's head with its empty line, if it is complete.
fn head_length(message: &[u8]) -> Option<usize> {
    message.windows(4).position(|window| window == b"\r\n\r\n").map(|index| index + 4)
}

/// Reads a head and the body whose length it names; `None` if the sender closes before.
pub(super) fn read_message(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut message = Vec::new();
    let mut byte = [0];
    while head_length(&message).is_none() {
        stream.read_exact(&mut byte).ok()?;
        message.extend(byte);
    }
    let head = String::from_utf8_lossy(&message).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    stream.read_exact(&mut body).ok()?;
    message.extend(body);
    Some(message)
}
