//! Socket that records whether bytes of a request were sent, and can stop further writes.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use rattanarch_admission::HeadLimit;
use rustix::net::RecvFlags;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Shared handle of a socket to an upstream or a peer, on which the HTTP codec reads and writes.
///
/// The codec writes in a task of its own. That no byte of a request was sent can therefore be stated only together with
/// stopping all later writes; one lock covers both.
#[derive(Clone, Debug)]
pub(crate) struct TrackedStream {
    state: Arc<Mutex<StreamState>>,
}

#[derive(Debug)]
struct StreamState {
    stream: TcpStream,
    limit: HeadLimit,
    /// Whether a byte was sent since the last [`TrackedStream::start_request`].
    sent: bool,
    /// Whether writes fail; never reset.
    stopped: bool,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let state =
            StreamState { stream, limit: HeadLimit::default(), sent: false, stopped: false };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Prepares for a new request: no byte of it was sent, and the head of its response is awaited.
    pub(crate) fn start_request(&self) {
        let mut state = self.lock();
        state.sent = false;
        state.limit.expect_head();
    }

    /// Records that the head of the response has arrived.
    pub(crate) fn head_received(&self) {
        self.lock().limit.head_received();
    }

    /// Stops all writes. Returns whether a byte was sent since [`TrackedStream::start_request`].
    pub(crate) fn stop_writes(&self) -> bool {
        let mut state = self.lock();
        state.stopped = true;
        state.sent
    }

    /// Stops all writes if no byte was sent since [`TrackedStream::start_request`]. Returns whether it did.
    pub(crate) fn stop_if_unsent(&self) -> bool {
        let mut state = self.lock();
        if state.sent {
            return false;
        }
        state.stopped = true;
        true
    }

    /// Whether the connection is open and has no unread bytes, according to the kernel.
    pub(crate) fn is_clean(&self) -> bool {
        let state = self.lock();
        if state.stopped {
            return false;
        }
        let mut byte = [0_u8; 1];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let peeked = rustix::net::recv(&state.stream, &mut byte, flags);
        matches!(peeked, Err(rustix::io::Errno::AGAIN))
    }

    fn lock(&self) -> MutexGuard<'_, StreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamState {
    /// Records whether a write has sent bytes, and returns its result.
    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(count)) if count > 0) {
            self.sent = true;
        }
        written
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.lock();
        let before = buffer.filled().len();
        std::task::ready!(Pin::new(&mut state.stream).poll_read(cx, buffer))?;
        let fits = state.limit.consume(buffer.filled().len() - before);
        let error = || io::Error::other("too many bytes before the head of the response");
        Poll::Ready(fits.then_some(()).ok_or_else(error))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        if state.stopped {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let written = Pin::new(&mut state.stream).poll_write(cx, buffer);
        state.record_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        if state.stopped {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let written = Pin::new(&mut state.stream).poll_write_vectored(cx, buffers);
        state.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_shutdown(cx)
    }
}
