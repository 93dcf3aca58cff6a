//! Socket of a caller's connection, which may not keep an answer waiting for ever.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

/// Socket that fails when its peer takes no bytes for `timeout` while some are to be sent.
#[derive(Debug)]
pub(crate) struct CallerIo {
    stream: TcpStream,
    timeout: Duration,
    timer: Pin<Box<Sleep>>,
    /// Whether bytes wait to be sent, so that `timer` runs.
    waiting: bool,
}

impl CallerIo {
    pub(crate) fn new(stream: TcpStream, timeout: Duration) -> Self {
        let timer = Box::pin(tokio::time::sleep(timeout));
        Self { stream, timeout, timer, waiting: false }
    }

    fn pace(
        &mut self,
        cx: &mut Context<'_>,
        sent: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if sent.is_ready() {
            self.waiting = false;
            return sent;
        }
        if !self.waiting {
            self.waiting = true;
            self.timer.as_mut().reset(Instant::now() + self.timeout);
        }
        ready!(self.timer.poll_unpin(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut self.stream).poll_write(cx, buffer);
        self.pace(cx, sent)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.pace(cx, sent)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
