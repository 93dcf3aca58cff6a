//! Asks peers for what does not fit a datagram.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use rattanarch_wire::Codec;
use rattanarch_wire::Pull;
use rattanarch_wire::PullReply;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::connection::EXCHANGE_BYTES;
use crate::process::Counters;

/// Longest answer, in bytes: a record and a configuration, each at most the platform's 1 MiB.
const MAX_ANSWER_BYTES: usize = 2 << 20;
/// Longest time of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// A bulk exchange that brought nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PullError {
    /// The peer could not be reached or closed early.
    #[error("peer at {address} gave no answer: {reason}")]
    NoAnswer {
        /// Address of the peer.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The answer was not taken.
    #[error("peer at {address} gave a bad answer: {reason}")]
    BadAnswer {
        /// Address of the peer.
        address: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
}

/// Asks the peer at `address` for what it holds above the versions in `pull`.
pub(crate) async fn pull(
    codec: &Codec,
    counters: &Counters,
    address: SocketAddr,
    pull: &Pull,
) -> Result<PullReply, PullError> {
    let no_answer = |reason: String| PullError::NoAnswer { address, reason };
    let frame = timeout(EXCHANGE_TIMEOUT, exchange(codec, address, pull))
        .await
        .map_err(|_| no_answer("timed out".to_owned()))?
        .map_err(no_answer)?;
    Counters::add(&counters.pulls);
    Counters::add_many(&counters.bulk_bytes, EXCHANGE_BYTES + frame.len() as u64);
    let bad = |reason: String| PullError::BadAnswer { address, reason };
    let pushed: PullReply =
        codec.decode(&frame, MAX_ANSWER_BYTES).map_err(|error| bad(error.to_string()))?;
    if pushed.nonce != pull.nonce {
        return Err(bad("it belongs to another exchange".to_owned()));
    }
    Ok(pushed)
}

async fn exchange(codec: &Codec, address: SocketAddr, pull: &Pull) -> Result<Vec<u8>, String> {
    let request = codec.encode(pull).map_err(|error| error.to_string())?;
    let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    let config = WebSocketConfig::default()
        .max_message_size(Some(MAX_ANSWER_BYTES))
        .max_frame_size(Some(MAX_ANSWER_BYTES));
    let url = format!("ws://{address}/");
    let (mut socket, _) = tokio_tungstenite::client_async_with_config(url, stream, Some(config))
        .await
        .map_err(|error| error.to_string())?;
    let sent = socket.send(Frame::Binary(request.into())).await;
    sent.map_err(|error| error.to_string())?;
    match socket.next().await {
        Some(Ok(Frame::Binary(frame))) => Ok(frame.to_vec()),
        Some(Ok(_)) | None => Err("closed without an answer".to_owned()),
        Some(Err(error)) => Err(error.to_string()),
    }
}
