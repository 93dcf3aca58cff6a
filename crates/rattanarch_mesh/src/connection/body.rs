//! Bodies of answers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::connection::Pool;
use crate::connection::PooledConnection;
use crate::connection::ScheduledBody;
use crate::connection::UplinkScheduler;

/// Body of an answer to a caller or a peer.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// All of it is here.
    Full(Full<Bytes>),
    /// All of it is here, and it is large: it waits for its turn on the link.
    InTurn(ScheduledBody),
    /// It is read from a peer while it is sent on. A peer's failure fails the body, so that a short
    /// answer never looks whole.
    Relayed(Box<Relayed>),
}

/// A body that arrives on a connection, which goes back to its pool after the last byte.
#[derive(Debug)]
pub(crate) struct Relayed {
    incoming: Incoming,
    link: Option<PooledConnection>,
    pool: std::rc::Rc<Pool>,
}

impl ResponseBody {
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }

    /// An answer of the upstream, in its turn on the link if it is large.
    pub(crate) fn in_turn(turns: &UplinkScheduler, bytes: Bytes) -> Self {
        turns.queue(&bytes).map_or_else(|| Self::full(bytes), Self::InTurn)
    }

    /// Bytes that wait for no turn on the link, as far as their number is known.
    pub(crate) fn untimed(&self) -> usize {
        match self {
            Self::InTurn(_) => 0,
            body => body.size_hint().exact().unwrap_or_default() as usize,
        }
    }

    pub(crate) fn relayed(
        incoming: Incoming,
        link: PooledConnection,
        pool: std::rc::Rc<Pool>,
    ) -> Self {
        let mut relayed = Relayed { incoming, link: Some(link), pool };
        relayed.finish();
        Self::Relayed(Box::new(relayed))
    }
}

impl Relayed {
    /// Gives the connection back once the body has ended.
    fn finish(&mut self) {
        if self.incoming.is_end_stream()
            && let Some(link) = self.link.take()
        {
            self.pool.put_back(link);
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
            Self::InTurn(body) => body.poll_part(cx).map(|part| part.map(Ok)),
            Self::Relayed(relayed) => {
                let polled = Pin::new(&mut relayed.incoming).poll_frame(cx);
                match &polled {
                    Poll::Ready(None | Some(Ok(_))) => relayed.finish(),
                    Poll::Ready(Some(Err(_))) => relayed.link = None,
                    Poll::Pending => {}
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::InTurn(body) => body.len() == 0,
            Self::Relayed(relayed) => relayed.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::InTurn(body) => SizeHint::with_exact(body.len() as u64),
            Self::Relayed(relayed) => relayed.incoming.size_hint(),
        }
    }
}
