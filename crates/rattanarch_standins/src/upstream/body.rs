//! Bodies that are made while they are sent, and bodies that are cut.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::content::Content;
use crate::upstream::run::Run;
use crate::upstream::work::Order;

/// Bytes made at a time; a download holds no more than this beside the socket's buffers.
const PIECE_BYTES: u64 = 64 << 10;

/// A file's content. Its run holds a slot until the last byte is taken; dropped before, it is
/// abandoned.
#[derive(Debug)]
pub(crate) struct FileBody {
    content: Content,
    offset: u64,
    length: u64,
    /// Offset at which the connection is cut.
    cut: Option<u64>,
    run: Option<(Run, Order)>,
}

impl FileBody {
    pub(crate) fn new(name: &str, length: u64, cut: bool, run: Run, order: Order) -> Self {
        let cut = cut.then_some(length / 2);
        Self { content: Content::new(name), offset: 0, length, cut, run: Some((run, order)) }
    }

    fn piece(&mut self) -> io::Result<Bytes> {
        let stopped = self.run.as_ref().is_some_and(|(run, _)| run.stop_reason().is_some());
        if stopped || self.cut.is_some_and(|cut| self.offset >= cut) {
            return Err(cut_error());
        }
        let end = self.cut.unwrap_or(self.length);
        let count = (end - self.offset).min(PIECE_BYTES);
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
        _context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.is_end_stream() {
            return Poll::Ready(None);
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
    bytes: Option<Bytes>,
}

impl CutBody {
    pub(crate) fn new(bytes: Bytes) -> Self {
        Self { bytes: Some(bytes) }
    }
}

impl Body for CutBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let outcome = match self.bytes.take() {
            Some(bytes) => Ok(Frame::data(bytes.slice(..bytes.len() / 2))),
            None => Err(cut_error()),
        };
        Poll::Ready(Some(outcome))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, Bytes::len) as u64)
    }
}

fn cut_error() -> io::Error {
    io::Error::other("the answer is cut")
}
