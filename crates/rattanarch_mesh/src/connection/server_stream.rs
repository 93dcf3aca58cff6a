//! A stream of an accepted connection that ends if its client stands still.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use rattanarch_admission::PROGRESS_TIME;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::connection::HeldBytes;
use crate::connection::LimitEvent;
use crate::connection::connections::ConnectionState;

/// A TCP stream whose reads fail if a head does not end in time, and whose writes fail if the client takes no bytes for
/// [`PROGRESS_TIME`].
pub(crate) struct ServerStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
    held: HeldBytes,
    head_timeout: Duration,
    /// Runs from the first byte of a head until its request begins; with the number of requests before it.
    head: Option<(u64, Pin<Box<Sleep>>)>,
    /// Runs while the client takes no bytes.
    write: Option<Pin<Box<Sleep>>>,
}

impl ServerStream {
    pub(crate) fn new(
        stream: TcpStream,
        state: Rc<ConnectionState>,
        held: HeldBytes,
        head_timeout: Duration,
    ) -> Self {
        Self { stream, state, held, head_timeout, head: None, write: None }
    }

    /// Fails if the head that is awaited has taken too long.
    fn check_head(&mut self, cx: &mut Context<'_>, received: bool) -> io::Result<()> {
        let requests = self.state.requests();
        self.head.take_if(|(before, _)| *before != requests);
        if self.state.idle_since().is_none() || !self.state.awaits_head.get() {
            return Ok(());
        }
        if received && self.head.is_none() {
            self.head = Some((requests, Box::pin(tokio::time::sleep(self.head_timeout))));
        }
        // A head whose last bytes have just arrived is in time.
        let late = !received
            && self.head.as_mut().is_some_and(|(_, head)| head.as_mut().poll(cx).is_ready());
        if late {
            self.held.record(LimitEvent::HeadTimeout);
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    fn check_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write = None;
            return written;
        }
        let timer = self.write.get_or_insert_with(|| Box::pin(tokio::time::sleep(PROGRESS_TIME)));
        std::task::ready!(timer.as_mut().poll(cx));
        self.held.record(LimitEvent::ReaderStalled);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.check_head(cx, buffer.filled().len() > before)?;
        read
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check_write(cx, written)
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.check_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
