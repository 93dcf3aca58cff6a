//! Bodies of requests and responses that pass through the daemon.

use std::error::Error;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::FutureExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::request::RequestError;
use crate::request::RequestSettings;

/// Body that the daemon sends to a caller, an upstream or a peer.
pub(crate) type OutgoingBody = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body ended early. The codec then closes the connection, so the receiver notices that the
/// body is incomplete.
pub(crate) type BodyError = Box<dyn Error + Send + Sync>;

/// A body that consists of `bytes`.
pub(crate) fn full(bytes: Bytes) -> OutgoingBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Body of a caller's request.
#[derive(Debug)]
pub(crate) enum Payload {
    /// Completely read; can be sent more than once.
    Buffered(Bytes),
    /// Too large to buffer; `None` after it was taken.
    Streamed(Option<OutgoingBody>),
}

impl Payload {
    /// Buffers a body of up to [`RequestSettings::body_buffer`] bytes, and prepares to stream a
    /// larger one.
    ///
    /// # Errors
    /// [`RequestError::BodyTooLarge`], [`RequestError::BodyStalled`] or
    /// [`RequestError::BodyMalformed`].
    pub(crate) async fn read(
        mut incoming: Incoming,
        settings: &RequestSettings,
    ) -> Result<Self, RequestError> {
        let limit = settings.body_limit;
        if incoming.size_hint().lower() > limit {
            return Err(RequestError::BodyTooLarge { limit });
        }
        if incoming.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let mut start = BytesMut::new();
        while start.len() <= settings.body_buffer {
            let next = tokio::time::timeout(settings.body_timeout, incoming.frame()).await;
            let Ok(next) = next else { return Err(RequestError::BodyStalled) };
            let Some(frame) = next else { return Ok(Self::Buffered(start.freeze())) };
            let frame = frame.map_err(|_| RequestError::BodyMalformed)?;
            // Trailers are dropped: upstreams don't use them.
            if let Ok(data) = frame.into_data() {
                start.extend_from_slice(&data);
            }
        }
        let body = BoundedBody::new(incoming, settings.body_timeout)
            .with_start(start.freeze())
            .with_limit(limit);
        Ok(Self::Streamed(Some(body.boxed_unsync())))
    }

    /// The body to send; `None` if it is streamed and was taken before.
    pub(crate) fn take(&mut self) -> Option<OutgoingBody> {
        match self {
            Self::Buffered(bytes) => Some(full(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Whether the complete body is buffered, so that it can be sent again.
    pub(crate) fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }
}

/// A body that ends with an error if no data arrives for a while or if it exceeds its size limit.
pub(crate) struct BoundedBody {
    /// Bytes that were read in advance; yielded first.
    start: Option<Bytes>,
    inner: Incoming,
    /// Bytes left until the size limit.
    left: u64,
    timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether `timer` runs, because the last poll found no data.
    waiting: bool,
}

impl BoundedBody {
    /// Wraps `inner`, which fails if no data arrives for `timeout`.
    pub(crate) fn new(inner: Incoming, timeout: Duration) -> Self {
        Self { start: None, inner, left: u64::MAX, timeout, timer: None, waiting: false }
    }

    fn with_start(mut self, start: Bytes) -> Self {
        self.start = Some(start).filter(|s| !s.is_empty());
        self
    }

    fn with_limit(mut self, limit: u64) -> Self {
        self.left = limit;
        self
    }

    fn count_bytes(&mut self, frame: &Frame<Bytes>) -> Result<(), BodyError> {
        let length = frame.data_ref().map_or(0, Bytes::len) as u64;
        let left = self.left.checked_sub(length).ok_or("the body is too large")?;
        self.left = left;
        Ok(())
    }

    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<BodyError> {
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        if !self.waiting {
            self.waiting = true;
            timer.as_mut().reset(Instant::now() + timeout);
        }
        ready!(timer.poll_unpin(cx));
        Poll::Ready("the body stopped arriving".into())
    }
}

impl Body for BoundedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(start) = self.start.take() {
            let frame = Frame::data(start);
            return Poll::Ready(Some(self.count_bytes(&frame).map(|()| frame)));
        }
        let Poll::Ready(next) = Pin::new(&mut self.inner).poll_frame(cx) else {
            return self.poll_timeout(cx).map(|error| Some(Err(error)));
        };
        self.waiting = false;
        let Some(frame) = next else { return Poll::Ready(None) };
        let counted = frame.map_err(BodyError::from).and_then(|f| self.count_bytes(&f).map(|()| f));
        Poll::Ready(Some(counted))
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let start = self.start.as_ref().map_or(0, Bytes::len) as u64;
        let inner = self.inner.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(inner.lower() + start);
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + start);
        }
        hint
    }
}
