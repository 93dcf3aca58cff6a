//! Socket of a caller's connection, with a write timeout and error responses that carry a verdict.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
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

use crate::connection::caller_progress::CallerProgress;
use crate::connection::error_response;

/// Socket of a caller's connection. A write fails if the caller accepts no bytes for `timeout`. Where the codec
/// rejects the first request or ends the connection without a response, the socket sends an error response with a
/// verdict instead.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    progress: Arc<CallerProgress>,
    /// Unsent rest of the error response that replaces the codec's.
    replacement: Option<Vec<u8>>,
    timeout: Duration,
    timer: Pin<Box<Sleep>>,
    /// Whether the last write is pending, so that `timer` runs.
    blocked: bool,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, progress: Arc<CallerProgress>, timeout: Duration) -> Self {
        let timer = Box::pin(tokio::time::sleep(timeout));
        Self { stream, progress, replacement: None, timeout, timer, blocked: false }
    }

    /// Sends an error response with a verdict in place of the codec's, which begins with `start` and has `length`
    /// bytes. The codec writes before any request is handed over only if it rejects the first one.
    fn poll_replacement(
        &mut self,
        cx: &mut Context<'_>,
        start: &[u8],
        length: usize,
    ) -> Poll<io::Result<usize>> {
        let mut rest =
            self.replacement.take().unwrap_or_else(|| error_response::for_codec_error(start));
        while !rest.is_empty() {
            match Pin::new(&mut self.stream).poll_write(cx, &rest) {
                Poll::Ready(Ok(sent)) => drop(rest.drain(..sent)),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    self.replacement = Some(rest);
                    return Poll::Pending;
                }
            }
        }
        self.replacement = Some(rest);
        Poll::Ready(Ok(length))
    }

    /// Starts the timer when a write becomes pending, and fails once it has expired.
    fn check_timeout(
        &mut self,
        cx: &mut Context<'_>,
        sent: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if sent.is_ready() {
            self.blocked = false;
            self.progress.record_sent();
            return sent;
        }
        if !self.blocked {
            self.blocked = true;
            self.timer.as_mut().reset(Instant::now() + self.timeout);
        }
        ready!(self.timer.poll_unpin(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        self.progress.record_received(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = if self.progress.has_requests() {
            Pin::new(&mut self.stream).poll_write(cx, buffer)
        } else {
            self.poll_replacement(cx, buffer, buffer.len())
        };
        self.check_timeout(cx, sent)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = if self.progress.has_requests() {
            Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
        } else {
            let start = buffers.first().map_or(&[][..], |buffer| buffer);
            self.poll_replacement(cx, start, buffers.iter().map(|buffer| buffer.len()).sum())
        };
        self.check_timeout(cx, sent)
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

impl Drop for CallerStream {
    fn drop(&mut self) {
        // A caller that has only shut down its sending side can still read a response.
        if let Some(text) = error_response::for_early_close(&self.progress) {
            let _ = self.stream.try_write(text.as_bytes());
        }
    }
}
