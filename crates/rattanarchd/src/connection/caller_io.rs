//! Socket of a caller's connection.

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

use crate::connection::own_answer;
use crate::connection::progress::Progress;

/// Socket that fails when its peer takes no bytes for `timeout` while some are to be sent, and that
/// adds the verdict where the codec answers or closes by itself.
#[derive(Debug)]
pub(crate) struct CallerIo {
    stream: TcpStream,
    progress: Arc<Progress>,
    /// What is left to send of an answer in place of the codec's.
    own: Option<Vec<u8>>,
    timeout: Duration,
    timer: Pin<Box<Sleep>>,
    /// Whether bytes wait to be sent, so that `timer` runs.
    waiting: bool,
}

impl CallerIo {
    pub(crate) fn new(stream: TcpStream, progress: Arc<Progress>, timeout: Duration) -> Self {
        let timer = Box::pin(tokio::time::sleep(timeout));
        Self { stream, progress, own: None, timeout, timer, waiting: false }
    }

    /// Sends an answer of our own in place of the codec's, which begins with `start` and has
    /// `length` bytes: it has refused the first request without a verdict.
    fn poll_own(
        &mut self,
        cx: &mut Context<'_>,
        start: &[u8],
        length: usize,
    ) -> Poll<io::Result<usize>> {
        let mut left = self.own.take().unwrap_or_else(|| own_answer::to_codec_error(start));
        while !left.is_empty() {
            match Pin::new(&mut self.stream).poll_write(cx, &left) {
                Poll::Ready(Ok(sent)) => drop(left.drain(..sent)),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    self.own = Some(left);
                    return Poll::Pending;
                }
            }
        }
        self.own = Some(left);
        Poll::Ready(Ok(length))
    }

    fn pace(
        &mut self,
        cx: &mut Context<'_>,
        sent: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if sent.is_ready() {
            self.waiting = false;
            self.progress.note_written();
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
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        self.progress.note_read(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = if self.progress.has_calls() {
            Pin::new(&mut self.stream).poll_write(cx, buffer)
        } else {
            self.poll_own(cx, buffer, buffer.len())
        };
        self.pace(cx, sent)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = if self.progress.has_calls() {
            Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
        } else {
            let start = buffers.first().map_or(&[][..], |buffer| buffer);
            self.poll_own(cx, start, buffers.iter().map(|buffer| buffer.len()).sum())
        };
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

impl Drop for CallerIo {
    fn drop(&mut self) {
        // A caller that has only closed its sending side still reads.
        if let Some(text) = own_answer::to_silence(&self.progress) {
            let _ = self.stream.try_write(text.as_bytes());
        }
    }
}
