//! Body of an answer on its way to the caller.

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
use crate::request::body::Paced;
use crate::request::exchange::Hold;

/// Body of an answer; gives its connection back after its end, and closes it if it is dropped
/// before.
pub(crate) struct AnswerBody {
    inner: Paced,
    ended: bool,
    /// `None` only while being dropped.
    link: Option<BusyConnection>,
    pool: Arc<Pool>,
    _hold: Hold,
}

impl AnswerBody {
    /// The body that arrives by `link` of `pool`; `hold` is kept until its end.
    pub(crate) fn new(inner: Paced, link: BusyConnection, pool: Arc<Pool>, hold: Hold) -> Self {
        Self { inner, ended: false, link: Some(link), pool, _hold: hold }
    }
}

impl Body for AnswerBody {
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

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if !self.ended && !self.inner.is_end_stream() {
            return;
        }
        if let Some(link) = self.link.take() {
            self.pool.put_back(link);
        }
    }
}
