//! Bodies that are made while they are sent, and bodies that are cut.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::content::Content;
use crate::upstream::run::Run;
use crate::upstream::work::Order;

/// Bytes made at a time; a download holds no more than this beside the socket's buffers.
const PIECE_BYTES: u64 = 64 << 10;

/// Pause before a connection is cut, so that the bytes before are sent and not dropped with it.
const CUT_PAUSE: Duration = Duration::from_millis(20);

/// The cut of a connection, after a pause that starts when the bytes before it are made.
#[derive(Debug, Default)]
struct Cut {
    pause: Option<Pin<Box<Sleep>>>,
}

impl Cut {
    fn poll<T>(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<T>>> {
        let pause = self.pause.get_or_insert_with(|| Box::pin(sleep(CUT_PAUSE)));
        pause.as_mut().poll(context).map(|()| Some(Err(cut_error())))
    }
}

/// A file's content. Its run holds a slot until the last byte is taken; dropped before, it is
/// abandoned.
#[derive(Debug)]
pub(crate) struct FileBody {
    content: Content,
    offset: u64,
    length: u64,
    /// Offset at which the connection is cut; `length` when it is not.
    end: u64,
    cut: Cut,
    run: Option<(Run, Order)>,
}

impl FileBody {
    pub(crate) fn new(name: &str, length: u64, cut: bool, run: Run, order: Order) -> Self {
        let end = if cut { length / 2 } else { length };
        let content = Content::new(name);
        Self { content, offset: 0, length, end, cut: Cut::default(), run: Some((run, order)) }
    }

    fn piece(&mut self) -> io::Result<Bytes> {
        if self.run.as_ref().is_some_and(|(run, _)| run.stop_reason().is_some()) {
            return Err(cut_error());
        }
        let count = (self.end - self.offset).min(PIECE_BYTES);
        let mut piece = vec![0; count as usize];
        self.content.fill(self.offset, &mut piece);
        self.offset += count;
        if self.offset == self.length {
            self.finish()?;
        }
        Ok(piece.into())
    }

    fn finish(&mut self) -> io::Result<()> {
        let Some((run, order)) = self.run.take() else { return Ok(()) };
        run.commit(&order).map(drop).map_err(|_| cut_error())
    }
}

impl Body for FileBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.is_end_stream() {
            return Poll::Ready(None);
        }
        if self.offset == self.end {
            return self.cut.poll(context);
        }
        Poll::Ready(Some(self.piece().map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.offset == self.length
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length - self.offset)
    }
}

/// A body that promises all of its bytes and is cut off in its middle.
#[derive(Debug)]
pub(crate) struct CutBody {
    half: Option<Bytes>,
    length: u64,
    cut: Cut,
}

impl CutBody {
    pub(crate) fn new(bytes: &Bytes) -> Self {
        let half = bytes.slice(..bytes.len() / 2);
        Self { half: Some(half), length: bytes.len() as u64, cut: Cut::default() }
    }
}

impl Body for CutBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.half.take() {
            Some(half) => Poll::Ready(Some(Ok(Frame::data(half)))),
            None => self.cut.poll(context),
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}

fn cut_error() -> io::Error {
    io::Error::other("the answer is cut")
}
