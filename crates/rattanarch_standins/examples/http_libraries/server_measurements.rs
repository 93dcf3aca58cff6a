//! Measurements of server libraries over plain sockets.

use std::error::Error;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::server::LARGE_BYTES;
use crate::server::WORK_TIME;
use crate::server_process::ServerProcess;

/// Function that takes one measurement and describes its result in one line.
pub type Measurement = fn(&ServerProcess) -> Result<String, Box<dyn Error>>;

/// All measurements.
pub const ALL: [(&str, Measurement); 8] = [
    ("keep-alive", keep_alive),
    ("130 connections at once", |server| many_connections(server, 130)),
    ("130 connections opened in a row", sequential_connections),
    ("large answer, slow reader", large_response),
    ("caller gone during work", disconnected_callers),
    ("head without end", endless_head),
    ("slow senders", slow_senders),
    ("idle connections", idle_connections),
];

/// Number of requests over one connection.
const REPEATS: usize = 2_000;

/// Maximum wait for an expected response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum length of the endless head, in bytes.
const HEAD_BYTES: usize = 64 << 20;

/// Maximum time for which the endless head is sent.
const HEAD_SEND_TIME: Duration = Duration::from_secs(10);

/// Number of connections in the measurements of slow senders and of idle connections.
const IDLE_COUNT: usize = 400;

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    stream.set_write_timeout(Some(RESPONSE_TIMEOUT))?;
    Ok(stream)
}

fn send(stream: &mut TcpStream, path: &str) -> io::Result<()> {
    write!(stream, "GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Reads a complete short response and returns its body.
fn receive(stream: &mut TcpStream) -> io::Result<String> {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    loop {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
        if let Some(body) = complete_body(&text) {
            return Ok(body);
        }
    }
}

fn complete_body(text: &str) -> Option<String> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let length = lines.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length?.1.trim().parse().ok()?;
    (body.len() >= length).then(|| body.to_owned())
}

fn keep_alive(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    let mut stream = connect(server.address)?;
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 10_000_000, 3)?;
    for _ in 0..REPEATS {
        let start = Instant::now();
        send(&mut stream, "/small")?;
        receive(&mut stream)?;
        latencies.record(start.elapsed().as_micros() as u64)?;
    }
    let (p50, p99) = (latencies.value_at_quantile(0.5), latencies.value_at_quantile(0.99));
    Ok(format!("{REPEATS} answers over one connection, p50 {p50} us, p99 {p99} us"))
}

fn many_connections(server: &ServerProcess, count: usize) -> Result<String, Box<dyn Error>> {
    let send_one = || {
        let mut stream = connect(server.address)?;
        send(&mut stream, "/small")?;
        receive(&mut stream)?;
        // Keeps the connection open, as in a pool.
        Ok::<_, io::Error>(stream)
    };
    let outcomes: Vec<_> = thread::scope(|scope| {
        let callers: Vec<_> = (0..count).map(|_| scope.spawn(send_one)).collect();
        callers.into_iter().filter_map(|caller| caller.join().ok()).collect()
    });
    let answered = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    let usage = server.usage()?;
    let (threads, resident) = (usage.threads, usage.resident);
    Ok(format!("{answered} of {count} answered, {threads} threads, {resident} KiB resident"))
}

/// Opens connections one after the other without a pause, then sends a request over each.
fn sequential_connections(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    const COUNT: usize = 130;
    let streams: Result<Vec<_>, _> = (0..COUNT).map(|_| connect(server.address)).collect();
    let mut streams = streams?;
    // A connection whose request cannot be sent counts as not answered.
    streams.retain_mut(|stream| send(stream, "/small").is_ok());
    thread::sleep(RESPONSE_TIMEOUT);
    let mut answered = 0;
    for stream in &mut streams {
        stream.set_read_timeout(Some(Duration::from_millis(1)))?;
        answered += usize::from(receive(stream).is_ok());
    }
    Ok(format!("{answered} of {COUNT} answered within {} s", RESPONSE_TIMEOUT.as_secs()))
}

fn large_response(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    let before = server.usage()?.resident;
    let mut stream = connect(server.address)?;
    send(&mut stream, "/large")?;
    // Gives a server that produces the body ahead of the reader the time to produce all of it.
    thread::sleep(Duration::from_millis(500));
    let mut buffer = vec![0; 256 << 10];
    let mut total = 0;
    while total < LARGE_BYTES {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            break;
        }
        total += count as u64;
    }
    let growth = server.usage()?.peak.saturating_sub(before);
    Ok(format!("{} MiB read, memory grew by at most {growth} KiB", total >> 20))
}

fn disconnected_callers(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    const CALLERS: usize = 20;
    for _ in 0..CALLERS {
        let mut stream = connect(server.address)?;
        send(&mut stream, "/work")?;
        thread::sleep(Duration::from_millis(5));
        drop(stream);
    }
    thread::sleep(WORK_TIME * 2);
    let mut stream = connect(server.address)?;
    send(&mut stream, "/counts")?;
    let counts = receive(&mut stream)?;
    let (finished, cancelled) = counts.split_once(' ').unwrap_or_default();
    Ok(format!("of {CALLERS} left early, {finished} ran to the end, {cancelled} were cancelled"))
}

fn endless_head(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    let before = server.usage()?.resident;
    let mut stream = connect(server.address)?;
    stream.write_all(b"GET /small HTTP/1.1\r\nhost: a\r\nx: ")?;
    let chunk = vec![b'x'; 64 << 10];
    let mut sent = 0;
    let start = Instant::now();
    let mut refused = false;
    while sent < HEAD_BYTES && !refused && start.elapsed() < HEAD_SEND_TIME {
        refused = stream.write_all(&chunk).is_err();
        sent += chunk.len();
    }
    let elapsed_ms = start.elapsed().as_millis();
    thread::sleep(Duration::from_millis(200));
    let growth = server.usage()?.peak.saturating_sub(before);
    let ending = if refused { "then refused" } else { "and goes on" };
    Ok(format!(
        "{} KiB in {elapsed_ms} ms {ending}, memory grew by at most {growth} KiB",
        sent >> 10
    ))
}

fn slow_senders(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    let before = server.usage()?;
    let mut streams = Vec::new();
    for _ in 0..IDLE_COUNT {
        let mut stream = connect(server.address)?;
        stream.write_all(b"GET /small HTTP/1.1\r\nhos")?;
        streams.push(stream);
    }
    thread::sleep(Duration::from_millis(300));
    let during = server.usage()?;
    thread::sleep(Duration::from_millis(1_500));
    let closed = streams.iter_mut().map(is_closed).filter(|&closed| closed).count();
    let threads = during.threads.saturating_sub(before.threads);
    let resident = during.resident.saturating_sub(before.resident);
    Ok(format!("{IDLE_COUNT} cost {threads} threads and {resident} KiB; {closed} closed after 2 s"))
}

fn idle_connections(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    let before = server.usage()?;
    let mut streams = Vec::new();
    for _ in 0..IDLE_COUNT {
        let mut stream = connect(server.address)?;
        send(&mut stream, "/small")?;
        receive(&mut stream)?;
        streams.push(stream);
    }
    let during = server.usage()?;
    let threads = during.threads.saturating_sub(before.threads);
    let resident = during.resident.saturating_sub(before.resident);
    Ok(format!("{IDLE_COUNT} kept alive cost {threads} threads and {resident} KiB"))
}

/// Returns whether the server has closed the connection, possibly after a response.
fn is_closed(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 1_024];
    if stream.set_read_timeout(Some(Duration::from_millis(1))).is_err() {
        return true;
    }
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => {
                let still_open = [io::ErrorKind::WouldBlock, io::ErrorKind::TimedOut];
                return !still_open.contains(&error.kind());
            }
        }
    }
}
