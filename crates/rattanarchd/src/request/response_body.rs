//! Body of a response that is streamed to the caller.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::connection::BusyConnection;
use crate::connection::Pool;
use crate::request::body::BodyError;
use crate::request::body::BoundedBody;
use crate::request::exchange::RequestGuards;

/// Body of a response. On drop it returns its connection to the pool if the body has ended, and
/// closes it otherwise.
pub(crate) struct ResponseBody {
    inner: BoundedBody,
    ended: bool,
    /// `None` only during drop.
    connection: Option<BusyConnection>,
    pool: Arc<Pool>,
    _guards: RequestGuards,
}

impl ResponseBody {
    /// The body received on `connection`, a connection of `pool`. `guards` are held until the drop.
    pub(crate) fn new(
        inner: BoundedBody,
        connection: BusyConnection,
        pool: Arc<Pool>,
        guards: RequestGuards,
    ) -> Self {
        Self { inner, ended: false, connection: Some(connection), pool, _guards: guards }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let next = Pin::new(&mut self.inner).poll_frame(cx);
        if matches!(next, Poll::Ready(None)) {
            self.ended = true;
        }
        next
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if !self.ended && !self.inner.is_end_stream() {
            return;
        }
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(connection);
        }
    }
}
