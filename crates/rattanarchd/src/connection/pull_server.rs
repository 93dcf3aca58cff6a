//! Answers bulk exchanges of peers.

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

/// Connections served at one time: a partition has 64 members, and each asks one peer at a time.
const MAX_CONNECTIONS: usize = 64;
/// Longest request frame, in bytes; a [`Pull`] takes under 100.
const MAX_REQUEST_BYTES: usize = 1_024;
/// Bytes that one exchange takes beside its two frames: the upgrade request and answer of some 180
/// and 130 bytes, close frames, and 14 TCP segments with 52 bytes of IPv4 and TCP header each.
pub(crate) const EXCHANGE_BYTES: u64 = 1_050;
/// Longest time from accept to the request, and from the request to the end.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// What this daemon holds for its peers, replaced after each change.
#[derive(Clone, Debug, Default)]
pub(crate) struct PullSource {
    /// Boot id of this member.
    pub(crate) me: BootId,
    /// Applied record.
    pub(crate) record: Arc<Record>,
    /// Newest configuration.
    pub(crate) configuration: Arc<Configuration>,
    /// What it tells in packets.
    pub(crate) knowledge: Knowledge,
}

/// Answers [`Pull`]s over WebSocket connections.
#[derive(Debug)]
pub(crate) struct PullServer {
    codec: Codec,
    counters: Arc<Counters>,
    holdings: watch::Receiver<PullSource>,
}

impl PullServer {
    /// A server that answers from `holdings`.
    pub(crate) fn new(
        codec: Codec,
        holdings: watch::Receiver<PullSource>,
        counters: Arc<Counters>,
    ) -> Self {
        Self { codec, counters, holdings }
    }

    /// Serves `listener` until the task is dropped.
    pub(crate) async fn run(self, listener: TcpListener) {
        let server = Arc::new(self);
        let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(place) = Arc::clone(&places).acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else { continue };
            let server = Arc::clone(&server);
            tokio::spawn(async move {
                let _ = timeout(EXCHANGE_TIMEOUT * 2, server.serve(stream)).await;
                drop(place);
            });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let config = WebSocketConfig::default()
            .max_message_size(Some(MAX_REQUEST_BYTES))
            .max_frame_size(Some(MAX_REQUEST_BYTES));
        let accepted = tokio_tungstenite::accept_async_with_config(stream, Some(config));
        let Ok(Ok(mut socket)) = timeout(EXCHANGE_TIMEOUT, accepted).await else { return };
        let Ok(Some(Ok(Frame::Binary(frame)))) = timeout(EXCHANGE_TIMEOUT, socket.next()).await
        else {
            return;
        };
        if let Some(answer) = self.answer(&frame) {
            let bytes = EXCHANGE_BYTES + (frame.len() + answer.len()) as u64;
            Counters::add_many(&self.counters.bulk_bytes, bytes);
            let _ = socket.send(Frame::Binary(answer.into())).await;
        }
        let _ = socket.close(None).await;
    }

    fn answer(&self, frame: &[u8]) -> Option<Vec<u8>> {
        let pull: Pull = self.codec.decode(frame, MAX_REQUEST_BYTES).ok()?;
        let held = self.holdings.borrow().clone();
        if pull.to != held.me {
            return None;
        }
        let record = (held.record.version > pull.record).then(|| (*held.record).clone().into());
        let configuration = (held.configuration.version > pull.configuration)
            .then(|| (*held.configuration).clone());
        let pushed =
            PullReply { nonce: pull.nonce, record, configuration, knowledge: held.knowledge };
        self.codec.encode(&pushed).ok()
    }
}
