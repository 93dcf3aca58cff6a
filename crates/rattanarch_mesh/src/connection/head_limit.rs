//! Bytes that may come before the head of an answer.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Bytes that may come while a head is awaited: the codec bounds each head, but not how many interim ones (RFC 9110,
/// section 15.2) come before it.
const MAX_BEFORE_HEAD: usize = 256 << 10;

/// What may still come before the head of the answer that is awaited; `None` while none is.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// A request is sent: the head of its answer is awaited.
    pub(crate) fn begin(&self) {
        self.0.set(Some(MAX_BEFORE_HEAD));
    }

    /// The head is here.
    pub(crate) fn end(&self) {
        self.0.set(None);
    }

    fn take(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.0.get() else { return Ok(()) };
        let left = left.checked_sub(bytes);
        self.0.set(left);
        left.map(drop).ok_or_else(|| io::Error::other("too many bytes before the answer's head"))
    }
}

/// A connection on which heads have to come within a [`HeadLimit`].
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl LimitedStream {
    pub(crate) fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        Poll::Ready(self.limit.take(buffer.filled().len() - before))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
