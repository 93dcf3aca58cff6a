//! Client of [`PullServer`](crate::connection::PullServer): fetches state that doesn't fit a datagram.

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

use crate::connection::PULL_OVERHEAD_BYTES;
use crate::process::Counters;

/// Largest reply frame, in bytes: a record and a configuration, each limited to 1 MiB by the platform.
const MAX_REPLY_BYTES: usize = 2 << 20;
/// Longest time for connecting, the request and the reply together.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Failure of a pull.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PullError {
    /// The peer could not be reached, closed the connection or did not reply in time.
    #[error("peer at {address} did not reply: {reason}")]
    NoReply {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the connection.
        reason: String,
    },
    /// The reply was rejected.
    #[error("peer at {address} sent an invalid reply: {reason}")]
    BadReply {
        /// Address of the peer.
        address: SocketAddr,
        /// Why it was rejected.
        reason: String,
    },
}

/// Fetches the record and configuration of the peer at `address` if they are newer than the versions in `pull`.
pub(crate) async fn pull(
    codec: &Codec,
    counters: &Counters,
    address: SocketAddr,
    pull: &Pull,
) -> Result<PullReply, PullError> {
    let no_reply = |reason: String| PullError::NoReply { address, reason };
    let frame = timeout(PULL_TIMEOUT, exchange(codec, address, pull))
        .await
        .map_err(|_| no_reply("timed out".to_owned()))?
        .map_err(no_reply)?;
    Counters::add(&counters.pulls);
    Counters::add_many(&counters.bulk_bytes, PULL_OVERHEAD_BYTES + frame.len() as u64);
    let bad_reply = |reason: String| PullError::BadReply { address, reason };
    let reply: PullReply =
        codec.decode(&frame, MAX_REPLY_BYTES).map_err(|error| bad_reply(error.to_string()))?;
    if reply.nonce != pull.nonce {
        return Err(bad_reply("it belongs to another request".to_owned()));
    }
    Ok(reply)
}

async fn exchange(codec: &Codec, address: SocketAddr, pull: &Pull) -> Result<Vec<u8>, String> {
    let request = codec.encode(pull).map_err(|error| error.to_string())?;
    let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    let config = WebSocketConfig::default()
        .max_message_size(Some(MAX_REPLY_BYTES))
        .max_frame_size(Some(MAX_REPLY_BYTES));
    let url = format!("ws://{address}/");
    let (mut socket, _) = tokio_tungstenite::client_async_with_config(url, stream, Some(config))
        .await
        .map_err(|error| error.to_string())?;
    let sent = socket.send(Frame::Binary(request.into())).await;
    sent.map_err(|error| error.to_string())?;
    match socket.next().await {
        Some(Ok(Frame::Binary(frame))) => Ok(frame.to_vec()),
        Some(Ok(_)) | None => Err("closed without a reply".to_owned()),
        Some(Err(error)) => Err(error.to_string()),
    }
}
