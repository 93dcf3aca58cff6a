//! A response body with the request that it ends.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::connection::ResponseBody;
use crate::connection::connections::BusyGuard;

/// Body of a response. The request counts as under way until the codec has taken the last byte.
pub(crate) struct ServedBody {
    body: ResponseBody,
    _busy: BusyGuard,
}

impl ServedBody {
    pub(crate) fn new(body: ResponseBody, busy: BusyGuard) -> Self {
        Self { body, _busy: busy }
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
