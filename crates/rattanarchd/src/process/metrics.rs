//! Counters of the process, and metrics in the statsd protocol.

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
const COUNTER_COUNT: usize = 11;

/// Counters of the process. Their increases are sent once a second, since a metric packet for each request would cost
/// more than the request.
#[derive(Debug, Default)]
pub struct Counters {
    /// Datagrams sent to peers.
    pub packets_sent: AtomicU64,
    /// Bytes of datagrams sent to peers, including IP and UDP headers.
    pub bytes_sent: AtomicU64,
    /// Datagrams from peers that were accepted.
    pub packets_received: AtomicU64,
    /// Bytes of datagrams from peers, including refused ones and IP and UDP headers.
    pub bytes_received: AtomicU64,
    /// Frames from peers that were refused.
    pub frames_refused: AtomicU64,
    /// Pulls that this daemon has sent to peers.
    pub pulls: AtomicU64,
    /// Bytes of pulls, both those sent and those answered, in both directions including all headers.
    pub bulk_bytes: AtomicU64,
    /// Calls to the platform, including watches.
    pub platform_calls: AtomicU64,
    /// Calls to the platform that failed.
    pub platform_failures: AtomicU64,
    /// Grants that the upstream accepted.
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

    /// Names and current values, in the order of the fields.
    pub fn read(&self) -> [(&'static str, u64); COUNTER_COUNT] {
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

/// Sends counters and gauges to a statsd server, if there is one.
#[derive(Debug)]
pub struct Metrics {
    client: Option<StatsdClient>,
    counters: Arc<Counters>,
    last_sent: [u64; COUNTER_COUNT],
}

impl Metrics {
    /// Creates a sender of `counters` to the server at `statsd`, with the prefix `rattanarch`; `None` sends nothing.
    ///
    /// # Errors
    /// If no socket can be opened.
    pub fn new(statsd: Option<SocketAddr>, counters: Arc<Counters>) -> std::io::Result<Self> {
        let client = statsd.map(open).transpose()?;
        Ok(Self { client, counters, last_sent: [0; COUNTER_COUNT] })
    }

    /// Sends the increases of the counters since the last call, and the given gauges.
    pub fn flush(&mut self, gauges: &[(&str, u64)]) {
        let Some(client) = &self.client else { return };
        for ((name, value), last_sent) in self.counters.read().into_iter().zip(&mut self.last_sent)
        {
            let increase = value - *last_sent;
            *last_sent = value;
            // Metrics that can't be sent at once are dropped.
            let _ = client.count(name, increase as i64);
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
