//! Bodies of requests, held in blocks.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use rattanarch_admission::ProgressMeter;
use rattanarch_process::Clock;

use crate::connection::HeldBytes;
use crate::connection::Listener;
use crate::connection::held_bytes::HeldGuard;
use crate::connection::limit_log::LimitEvent;

/// Largest block in bytes.
const MAX_BLOCK: usize = 64 << 10;

/// Smallest block of a body of unknown length in bytes.
const MIN_BLOCK: usize = 1 << 10;

/// A body that is whole in memory and charged to the budget until its last clone is dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldBody(Rc<Held>);

#[derive(Debug, Default)]
struct Held {
    blocks: Vec<Bytes>,
    length: usize,
    _guard: Option<HeldGuard>,
}

/// Body of a request to a peer or the upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestBody {
    body: HeldBody,
    /// Index of the next block.
    next: usize,
    /// Bytes that are still to be sent.
    left: usize,
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum ReadError {
    /// The connection failed or ended early, or the body is malformed.
    #[error("body cut short")]
    Cut,
    /// The body is longer than permitted.
    #[error("body too large")]
    TooLong,
    /// The body made no progress.
    #[error("body stalled")]
    Stalled,
    /// The budget has no room for it.
    #[error("no room for the body")]
    NoRoom,
}

impl HeldBody {
    /// Reads `incoming` to its end.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub(crate) async fn read(
        (held, listener): (&HeldBytes, Listener),
        incoming: Incoming,
        limit: usize,
    ) -> Result<Self, ReadError> {
        if incoming.is_end_stream() {
            return Ok(Self::default());
        }
        let reader = Reader::new(held.open(listener), limit, incoming.size_hint().exact());
        let read = reader.run(incoming).await;
        match read {
            Err(ReadError::TooLong) => held.record(LimitEvent::BodyTooLong),
            Err(ReadError::Stalled) => held.record(LimitEvent::BodyStalled),
            Err(ReadError::NoRoom) => held.record(LimitEvent::NoRoom),
            Ok(_) | Err(ReadError::Cut) => {}
        }
        read
    }

    /// Number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.0.length
    }

    /// The bytes in one piece.
    pub(crate) fn to_bytes(&self) -> Bytes {
        match &*self.0.blocks {
            [] => Bytes::new(),
            [block] => block.clone(),
            blocks => blocks.concat().into(),
        }
    }

    /// The bytes, in order.
    pub(crate) fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.0.blocks.iter().map(|block| &block[..])
    }

    /// A body that sends these bytes.
    pub(crate) fn to_request(&self) -> RequestBody {
        RequestBody { body: self.clone(), next: 0, left: self.len() }
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        let length = bytes.len();
        let blocks = if bytes.is_empty() { Vec::new() } else { vec![bytes] };
        HeldBody(Rc::new(Held { blocks, length, _guard: None })).to_request()
    }
}

/// Copies the frames of a body into blocks.
struct Reader {
    guard: HeldGuard,
    limit: usize,
    /// Length that the head announces.
    announced: Option<u64>,
    blocks: Vec<Bytes>,
    block: BytesMut,
    length: usize,
    meter: ProgressMeter,
}

impl Reader {
    fn new(guard: HeldGuard, limit: usize, announced: Option<u64>) -> Self {
        Self {
            guard,
            limit,
            announced,
            blocks: Vec::new(),
            block: BytesMut::new(),
            length: 0,
            meter: ProgressMeter::new(Clock.now()),
        }
    }

    async fn run(mut self, mut incoming: Incoming) -> Result<HeldBody, ReadError> {
        if self.announced.is_some_and(|length| length > self.limit as u64) {
            return Err(ReadError::TooLong);
        }
        loop {
            let wait = self.meter.due().saturating_sub(Clock.now());
            let frame = tokio::select! {
                biased;
                frame = incoming.frame() => frame,
                () = self.guard.given_up() => return Err(ReadError::NoRoom),
                () = tokio::time::sleep(wait) => return Err(ReadError::Stalled),
            };
            let Some(frame) = frame else { return Ok(self.finish()) };
            let Ok(chunk) = frame.map_err(|_| ReadError::Cut)?.into_data() else { continue };
            self.add(&chunk)?;
        }
    }

    fn add(&mut self, mut chunk: &[u8]) -> Result<(), ReadError> {
        if self.length + chunk.len() > self.limit {
            return Err(ReadError::TooLong);
        }
        if self.meter.transferred(Clock.now(), chunk.len()) {
            self.guard.progress();
        }
        while !chunk.is_empty() {
            if self.block.len() == self.block.capacity() {
                self.next_block(chunk.len())?;
            }
            let room = self.block.capacity() - self.block.len();
            let (now, rest) = chunk.split_at(room.min(chunk.len()));
            self.block.extend_from_slice(now);
            self.length += now.len();
            chunk = rest;
        }
        Ok(())
    }

    /// Reserves and allocates a block for `chunk` bytes and those that follow.
    fn next_block(&mut self, chunk: usize) -> Result<(), ReadError> {
        let expected = match self.announced {
            Some(announced) => (announced as usize).saturating_sub(self.length),
            // Blocks grow with the body, so that a short one takes little more than its bytes.
            None => self.length.max(chunk).max(MIN_BLOCK),
        };
        let size = expected.clamp(1, MAX_BLOCK);
        if !self.guard.reserve(size) {
            return Err(ReadError::NoRoom);
        }
        let full = std::mem::replace(&mut self.block, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.blocks.push(full.freeze());
        }
        Ok(())
    }

    fn finish(mut self) -> HeldBody {
        if !self.block.is_empty() {
            self.blocks.push(self.block.freeze());
        }
        self.guard.set_evictable(false);
        let (blocks, length) = (self.blocks, self.length);
        HeldBody(Rc::new(Held { blocks, length, _guard: Some(self.guard) }))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(block) = self.body.0.blocks.get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.left -= block.len();
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
