//! Server that sends peers the state that doesn't fit a datagram.

use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::Record;
use rattanarch_wire::Codec;
use rattanarch_wire::Knowledge;
use rattanarch_wire::Pull;
use rattanarch_wire::PullReply;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::process::Counters;

/// Connections served at one time: a partition has 64 members, each of which pulls from one peer at a time.
const MAX_CONNECTIONS: usize = 64;
/// Largest request frame, in bytes; a [`Pull`] takes less than 100.
const MAX_REQUEST_BYTES: usize = 1_024;
/// Bytes of one pull besides its two frames: the upgrade request and response of some 180 and 130 bytes, close
/// frames, and 14 TCP segments with 52 bytes of IPv4 and TCP headers each.
pub(crate) const PULL_OVERHEAD_BYTES: u64 = 1_050;
/// Longest time for the upgrade, and for the request after it; twice this for the whole connection.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// State from which pulls are replied to; replaced as a whole after each change.
#[derive(Clone, Debug, Default)]
pub(crate) struct PullSource {
    /// Boot id of this member.
    pub(crate) me: BootId,
    /// Applied record.
    pub(crate) record: Arc<Record>,
    /// Newest configuration.
    pub(crate) configuration: Arc<Configuration>,
    /// Versions that this daemon reports in packets.
    pub(crate) knowledge: Knowledge,
}

/// Replies to [`Pull`]s over WebSocket connections.
#[derive(Debug)]
pub(crate) struct PullServer {
    codec: Codec,
    counters: Arc<Counters>,
    source: watch::Receiver<PullSource>,
}

impl PullServer {
    /// Creates a server that replies from the current value of `source`.
    pub(crate) fn new(
        codec: Codec,
        source: watch::Receiver<PullSource>,
        counters: Arc<Counters>,
    ) -> Self {
        Self { codec, counters, source }
    }

    /// Serves `listener` until the future is dropped.
    pub(crate) async fn run(self, listener: TcpListener) {
        let server = Arc::new(self);
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else { continue };
            let server = Arc::clone(&server);
            tokio::spawn(async move {
                let _ = timeout(PULL_TIMEOUT * 2, server.serve(stream)).await;
                drop(permit);
            });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let config = WebSocketConfig::default()
            .max_message_size(Some(MAX_REQUEST_BYTES))
            .max_frame_size(Some(MAX_REQUEST_BYTES));
        let accepted = tokio_tungstenite::accept_async_with_config(stream, Some(config));
        let Ok(Ok(mut socket)) = timeout(PULL_TIMEOUT, accepted).await else { return };
        let Ok(Some(Ok(Frame::Binary(frame)))) = timeout(PULL_TIMEOUT, socket.next()).await else {
            return;
        };
        if let Some(reply) = self.reply_to(&frame) {
            let bytes = PULL_OVERHEAD_BYTES + (frame.len() + reply.len()) as u64;
            Counters::add_many(&self.counters.bulk_bytes, bytes);
            let _ = socket.send(Frame::Binary(reply.into())).await;
        }
        let _ = socket.close(None).await;
    }

    /// Encoded reply to a request frame; `None` if the frame is invalid or addressed to another boot.
    fn reply_to(&self, frame: &[u8]) -> Option<Vec<u8>> {
        let pull: Pull = self.codec.decode(frame, MAX_REQUEST_BYTES).ok()?;
        let source = self.source.borrow().clone();
        if pull.to != source.me {
            return None;
        }
        let record = (source.record.version > pull.record).then(|| (*source.record).clone().into());
        let configuration = (source.configuration.version > pull.configuration)
            .then(|| (*source.configuration).clone());
        let reply =
            PullReply { nonce: pull.nonce, record, configuration, knowledge: source.knowledge };
        self.codec.encode(&reply).ok()
    }
}
