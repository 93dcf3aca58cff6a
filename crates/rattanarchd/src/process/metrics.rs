//! Metrics over statsd.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Gauged;
use cadence::MetricSink;
use cadence::StatsdClient;

/// Number of counters.
const COUNTERS: usize = 11;

/// Counters of the whole process, sent once a second: a packet for each request would cost more
/// than the request.
#[derive(Debug, Default)]
pub struct Counters {
    /// Datagrams sent to peers.
    pub packets_sent: AtomicU64,
    /// Bytes of datagrams sent to peers, IP and UDP headers included.
    pub bytes_sent: AtomicU64,
    /// Datagrams taken from peers.
    pub packets_received: AtomicU64,
    /// Bytes of datagrams received, IP and UDP headers included.
    pub bytes_received: AtomicU64,
    /// Frames from peers that were not taken.
    pub frames_refused: AtomicU64,
    /// Bulk exchanges with peers.
    pub pulls: AtomicU64,
    /// Bytes of bulk exchanges, asked for or answered, in both directions with all headers.
    pub bulk_bytes: AtomicU64,
    /// Calls to the platform, watches included.
    pub platform_calls: AtomicU64,
    /// Calls to the platform that failed.
    pub platform_failures: AtomicU64,
    /// Grants that the upstream took.
    pub grants: AtomicU64,
    /// Grants that the upstream refused or did not answer.
    pub grant_failures: AtomicU64,
}

impl Counters {
    /// Adds one to a counter.
    pub fn add(counter: &AtomicU64) {
        Self::add_many(counter, 1);
    }

    /// Adds `n` to a counter.
    pub fn add_many(counter: &AtomicU64, n: u64) {
        counter.fetch_add(n, Ordering::Relaxed);
    }

    /// Names and values now, in the order of the fields.
    pub fn read(&self) -> [(&'static str, u64); COUNTERS] {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("peer.packets_sent", read(&self.packets_sent)),
            ("peer.bytes_sent", read(&self.bytes_sent)),
            ("peer.packets_taken", read(&self.packets_received)),
            ("peer.bytes_received", read(&self.bytes_received)),
            ("peer.frames_refused", read(&self.frames_refused)),
            ("peer.pulls", read(&self.pulls)),
            ("peer.bulk_bytes", read(&self.bulk_bytes)),
            ("platform.calls", read(&self.platform_calls)),
            ("platform.failures", read(&self.platform_failures)),
            ("upstream.grants", read(&self.grants)),
            ("upstream.grant_failures", read(&self.grant_failures)),
        ]
    }
}

/// Sends counters and gauges to statsd; sends nothing when no address is set.
#[derive(Debug)]
pub struct Metrics {
    client: Option<StatsdClient>,
    counters: Arc<Counters>,
    sent: [u64; COUNTERS],
}

impl Metrics {
    /// Metrics of `counters`, sent to `statsd` with the prefix `rattanarch`.
    ///
    /// # Errors
    /// When no socket can be opened.
    pub fn new(statsd: Option<SocketAddr>, counters: Arc<Counters>) -> std::io::Result<Self> {
        let client = statsd.map(open).transpose()?;
        Ok(Self { client, counters, sent: [0; COUNTERS] })
    }

    /// Sends what the counters gained since the last call, and the given gauges.
    pub fn flush(&mut self, gauges: &[(&str, u64)]) {
        let Some(client) = &self.client else { return };
        for ((name, value), sent) in self.counters.read().into_iter().zip(&mut self.sent) {
            let gained = value - *sent;
            *sent = value;
            // Metrics are lost rather than waited for.
            let _ = client.count(name, gained as i64);
        }
        for &(name, value) in gauges {
            let _ = client.gauge(name, value);
        }
        let _ = client.flush();
    }
}

fn open(statsd: SocketAddr) -> std::io::Result<StatsdClient> {
    let local = if statsd.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(statsd, socket)
        .map_err(|error| std::io::Error::other(error.to_string()))?;
    let _ = sink.flush();
    Ok(StatsdClient::from_sink("rattanarch", sink))
}
