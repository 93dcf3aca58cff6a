//! Bodies of requests and answers on their way through the daemon.

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

/// Body that the daemon sends, to a caller or to an upstream.
pub(crate) type OutgoingBody = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body ended early; the codec then closes the connection, so that the reader sees a cut.
pub(crate) type BodyError = Box<dyn Error + Send + Sync>;

/// A body of known bytes.
pub(crate) fn whole(bytes: Bytes) -> OutgoingBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Body of a caller's request.
#[derive(Debug)]
pub(crate) enum Payload {
    /// Read to its end; may be sent again.
    Whole(Bytes),
    /// Too large to hold; `None` once it was handed over.
    Streamed(Option<OutgoingBody>),
}

impl Payload {
    /// Reads the body if it is small, else prepares to stream it.
    ///
    /// # Errors
    /// The body is too large, stalled or malformed.
    pub(crate) async fn read(
        mut incoming: Incoming,
        settings: &RequestSettings,
    ) -> Result<Self, RequestError> {
        let limit = settings.body_limit;
        if incoming.size_hint().lower() > limit {
            return Err(RequestError::BodyTooLarge { limit });
        }
        if incoming.is_end_stream() {
            return Ok(Self::Whole(Bytes::new()));
        }
        let mut start = BytesMut::new();
        while start.len() <= settings.body_buffer {
            let next = tokio::time::timeout(settings.body_timeout, incoming.frame()).await;
            let Ok(next) = next else { return Err(RequestError::BodyStalled) };
            let Some(frame) = next else { return Ok(Self::Whole(start.freeze())) };
            let frame = frame.map_err(|_| RequestError::BodyMalformed)?;
            // Trailers carry nothing that an upstream acts on.
            if let Ok(data) = frame.into_data() {
                start.extend_from_slice(&data);
            }
        }
        let body = Paced::new(incoming, settings.body_timeout)
            .with_start(start.freeze())
            .with_limit(limit);
        Ok(Self::Streamed(Some(body.boxed_unsync())))
    }

    /// The body to send; `None` if it was handed over before and cannot be repeated.
    pub(crate) fn take(&mut self) -> Option<OutgoingBody> {
        match self {
            Self::Whole(bytes) => Some(whole(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Whether the whole body is held.
    pub(crate) fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }
}

/// A body that must keep arriving: silence and excess end it with an error.
pub(crate) struct Paced {
    /// Bytes that were read before; sent first.
    start: Option<Bytes>,
    inner: Incoming,
    /// Bytes that may still come.
    left: u64,
    timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether the body is waited for, so that `timer` runs.
    waiting: bool,
}

impl Paced {
    /// Ends `inner` after a silence of `timeout`.
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

    fn count(&mut self, frame: &Frame<Bytes>) -> Result<(), BodyError> {
        let length = frame.data_ref().map_or(0, Bytes::len) as u64;
        let left = self.left.checked_sub(length).ok_or("the body is too large")?;
        self.left = left;
        Ok(())
    }

    fn poll_silence(&mut self, cx: &mut Context<'_>) -> Poll<BodyError> {
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

impl Body for Paced {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(start) = self.start.take() {
            let frame = Frame::data(start);
            return Poll::Ready(Some(self.count(&frame).map(|()| frame)));
        }
        let Poll::Ready(next) = Pin::new(&mut self.inner).poll_frame(cx) else {
            return self.poll_silence(cx).map(|error| Some(Err(error)));
        };
        self.waiting = false;
        let Some(frame) = next else { return Poll::Ready(None) };
        let counted = frame.map_err(BodyError::from).and_then(|f| self.count(&f).map(|()| f));
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
