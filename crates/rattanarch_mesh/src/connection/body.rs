//! Bodies of responses.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::connection::HeldBytes;
use crate::connection::HeldGuard;
use crate::connection::Pool;
use crate::connection::PooledConnection;
use crate::connection::ScheduledBody;
use crate::connection::UplinkScheduler;
use crate::connection::buffers::UNCHARGED_BYTES;
use crate::connection::uplink_scheduler::MIN_LARGE_RESPONSE;

/// Body of a response to a caller or a peer.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// A body that is whole in memory.
    Full(Full<Bytes>),
    /// A large body that is whole in memory and is sent when the [`UplinkScheduler`] allows it.
    Scheduled(ScheduledBody),
    /// A body that is forwarded while it arrives from a peer. A failure of the peer fails the body, so that a truncated
    /// response never looks complete.
    Relayed(Box<Relayed>),
    /// A body that is charged to the budget until it is sent.
    Held(Box<(ResponseBody, HeldGuard)>),
    /// A body of the response to a request whose own body has not been read.
    WithUnread(Box<(ResponseBody, Incoming)>),
}

/// Bytes that the codec may hold of a body that is forwarded while it arrives.
const RELAYED_BYTES: usize = 64 << 10;

/// Longest relayed body in bytes that is not charged to the budget.
const SMALL_RELAYED_BYTES: u64 = 16 << 10;

/// A body that arrives on a pooled connection, which returns to its pool after the last byte.
#[derive(Debug)]
pub(crate) struct Relayed {
    incoming: Incoming,
    connection: Option<PooledConnection>,
    pool: std::rc::Rc<Pool>,
}

impl ResponseBody {
    /// A body of `bytes` that is sent at once.
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        if bytes.len() < MIN_LARGE_RESPONSE {
            return Self::Full(Full::new(bytes));
        }
        Self::Scheduled(ScheduledBody::immediate(bytes))
    }

    /// A body of the upstream, which is scheduled on the uplink if it is large.
    pub(crate) fn scheduled(uplink: &UplinkScheduler, bytes: Bytes) -> Self {
        uplink.queue(&bytes).map_or_else(|| Self::full(bytes), Self::Scheduled)
    }

    /// This body, with the rest of the request's body `unread`, which the server discards.
    pub(crate) fn with_unread(self, unread: Incoming) -> Self {
        Self::WithUnread(Box::new((self, unread)))
    }

    /// Separates the body from that of the request, if it has not been read.
    pub(crate) fn split_unread(self) -> (Self, Option<Incoming>) {
        match self {
            Self::WithUnread(both) => (both.0, Some(both.1)),
            body => (body, None),
        }
    }

    /// Number of bytes that are sent without being scheduled; 0 if it isn't known.
    pub(crate) fn unscheduled_len(&self) -> usize {
        match self {
            Self::Scheduled(body) => body.unscheduled_len(),
            Self::Held(held) => held.0.unscheduled_len(),
            Self::WithUnread(both) => both.0.unscheduled_len(),
            body => body.size_hint().exact().unwrap_or_default() as usize,
        }
    }

    /// This body, charged to the budget by `guard` until it is sent; its client has to make progress from now on.
    pub(crate) fn held_by(self, guard: Option<HeldGuard>) -> Self {
        let Some(guard) = guard else { return self };
        guard.progress();
        guard.set_evictable(true);
        Self::Held(Box::new((self, guard)))
    }

    /// This body, charged to `held` if it is a long one of this process that is not charged yet.
    pub(crate) fn charged_to(self, held: &HeldBytes) -> Self {
        let length = match &self {
            Self::Full(_) | Self::Scheduled(_) => self.size_hint().exact().unwrap_or_default(),
            Self::Relayed(_) | Self::Held(_) | Self::WithUnread(_) => 0,
        };
        if length <= UNCHARGED_BYTES as u64 {
            return self;
        }
        let guard = held.open_response();
        // The response is there already, so it is sent even if there is no room.
        guard.charge_response(length as usize);
        self.held_by(Some(guard))
    }

    /// What charges the body to the budget.
    pub(crate) fn guard(&self) -> Option<&HeldGuard> {
        match self {
            Self::Held(held) => Some(&held.1),
            Self::Full(_) | Self::Scheduled(_) | Self::Relayed(_) | Self::WithUnread(_) => None,
        }
    }

    /// A body that is forwarded from a peer; `connection` returns to `pool` after its last byte.
    pub(crate) fn relayed(
        incoming: Incoming,
        connection: PooledConnection,
        pool: std::rc::Rc<Pool>,
        held: &HeldBytes,
    ) -> Self {
        let small = incoming.size_hint().upper().is_some_and(|upper| upper <= SMALL_RELAYED_BYTES);
        let guard = (!small).then(|| held.open_response());
        if let Some(guard) = &guard {
            // The body is sent even if there is no room.
            guard.charge_response(RELAYED_BYTES);
        }
        let mut relayed = Relayed { incoming, connection: Some(connection), pool };
        relayed.release_connection();
        Self::Relayed(Box::new(relayed)).held_by(guard)
    }
}

impl Relayed {
    /// Returns the connection to its pool if the body has ended.
    fn release_connection(&mut self) {
        if self.incoming.is_end_stream()
            && let Some(connection) = self.connection.take()
        {
            self.pool.put_back(connection);
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Full(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Scheduled(body) => body.poll_chunk(cx).map(|chunk| chunk.map(Ok)),
            Self::WithUnread(both) => Pin::new(&mut both.0).poll_frame(cx),
            Self::Held(held) => {
                let polled = Pin::new(&mut held.0).poll_frame(cx);
                if polled.is_ready() {
                    held.1.progress();
                }
                polled
            }
            Self::Relayed(relayed) => {
                let polled = Pin::new(&mut relayed.incoming).poll_frame(cx);
                match &polled {
                    Poll::Ready(None | Some(Ok(_))) => relayed.release_connection(),
                    Poll::Ready(Some(Err(_))) => relayed.connection = None,
                    Poll::Pending => {}
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::Scheduled(body) => body.len() == 0,
            Self::Relayed(relayed) => relayed.incoming.is_end_stream(),
            Self::Held(held) => held.0.is_end_stream(),
            Self::WithUnread(both) => both.0.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::Scheduled(body) => SizeHint::with_exact(body.len() as u64),
            Self::Relayed(relayed) => relayed.incoming.size_hint(),
            Self::Held(held) => held.0.size_hint(),
            Self::WithUnread(both) => both.0.size_hint(),
        }
    }
}
