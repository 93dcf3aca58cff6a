//! Socket of a connection to an upstream or a peer, with proof of whether bytes have left.

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

/// Handle on a socket that the HTTP codec drives.
///
/// The codec writes from a task of its own, so "no byte has left" can only be said by the party
/// that also stops later writes: both happen under one lock here.
#[derive(Clone, Debug)]
pub(crate) struct TrackedStream {
    state: Arc<Mutex<StreamState>>,
}

#[derive(Debug)]
struct StreamState {
    stream: TcpStream,
    limit: HeadLimit,
    /// Whether a byte has left since the last [`TrackedStream::begin`].
    written: bool,
    /// Never reset: a wire that was shut writes no more.
    shut: bool,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let state =
            StreamState { stream, limit: HeadLimit::default(), written: false, shut: false };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Starts to watch for bytes of a new request, and for the head of its answer.
    pub(crate) fn begin(&self) {
        let mut state = self.lock();
        state.written = false;
        state.limit.expect_head();
    }

    /// Notes that the head of the answer is here.
    pub(crate) fn end_head(&self) {
        self.lock().limit.head_received();
    }

    /// Stops all writes and says whether a byte has left since [`TrackedStream::begin`].
    pub(crate) fn shut(&self) -> bool {
        let mut state = self.lock();
        state.shut = true;
        state.written
    }

    /// Shuts the wire only if no byte has left; returns whether it is now shut with none sent.
    pub(crate) fn stop_if_unsent(&self) -> bool {
        let mut state = self.lock();
        if state.written {
            return false;
        }
        state.shut = true;
        true
    }

    /// Whether the kernel shows the idle connection open, with nothing to read.
    pub(crate) fn is_clean(&self) -> bool {
        let state = self.lock();
        if state.shut {
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
    fn note(&mut self, sent: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(sent, Poll::Ready(Ok(count)) if count > 0) {
            self.written = true;
        }
        sent
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
        let error = || io::Error::other("too many bytes before the answer's head");
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
        if state.shut {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let sent = Pin::new(&mut state.stream).poll_write(cx, buffer);
        state.note(sent)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        if state.shut {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let sent = Pin::new(&mut state.stream).poll_write_vectored(cx, buffers);
        state.note(sent)
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
