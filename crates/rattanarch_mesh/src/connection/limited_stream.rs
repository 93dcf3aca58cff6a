//! A stream that limits the bytes before the head of a response.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use rattanarch_admission::HeadLimit;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// The limit of a connection, which is active from each request until the head of its response.
pub(crate) type SharedLimit = Rc<RefCell<HeadLimit>>;

/// A TCP stream whose reads fail once a [`HeadLimit`] is exceeded.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    limit: SharedLimit,
}

impl LimitedStream {
    pub(crate) fn new(stream: TcpStream, limit: SharedLimit) -> Self {
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
        let fits = self.limit.borrow_mut().consume(buffer.filled().len() - before);
        let error = || io::Error::other("too many bytes before the response head");
        Poll::Ready(fits.then_some(()).ok_or_else(error))
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
