//! Response bodies that are generated while they are sent, and truncated response bodies.

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
use crate::upstream::execution::Execution;
use crate::upstream::work_request::WorkRequest;

/// Bytes generated at a time; a download needs no more memory than this and the socket buffers.
const CHUNK_BYTES: u64 = 64 << 10;

/// Delay before a connection is aborted, so that the bytes before it are sent and not discarded.
const ABORT_DELAY: Duration = Duration::from_millis(20);

/// Aborts a connection after [`ABORT_DELAY`], which starts when the preceding bytes are generated.
#[derive(Debug, Default)]
struct DelayedAbort {
    delay: Option<Pin<Box<Sleep>>>,
}

impl DelayedAbort {
    fn poll<T>(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<T>>> {
        let delay = self.delay.get_or_insert_with(|| Box::pin(sleep(ABORT_DELAY)));
        delay.as_mut().poll(context).map(|()| Some(Err(truncation_error())))
    }
}

/// Content of a file. The execution occupies a slot until the last byte is generated; if the body is
/// dropped earlier, the execution is abandoned.
#[derive(Debug)]
pub(crate) struct FileBody {
    content: Content,
    offset: u64,
    length: u64,
    /// Offset at which the connection is aborted; `length` if it is not aborted.
    end: u64,
    abort: DelayedAbort,
    execution: Option<(Execution, WorkRequest)>,
}

impl FileBody {
    pub(crate) fn new(
        name: &str,
        length: u64,
        truncated: bool,
        execution: Execution,
        work: WorkRequest,
    ) -> Self {
        let end = if truncated { length / 2 } else { length };
        let content = Content::new(name);
        Self {
            content,
            offset: 0,
            length,
            end,
            abort: DelayedAbort::default(),
            execution: Some((execution, work)),
        }
    }

    fn next_chunk(&mut self) -> io::Result<Bytes> {
        if self.execution.as_ref().is_some_and(|(execution, _)| execution.stop_reason().is_some()) {
            return Err(truncation_error());
        }
        let count = (self.end - self.offset).min(CHUNK_BYTES);
        let mut chunk = vec![0; count as usize];
        self.content.fill(self.offset, &mut chunk);
        self.offset += count;
        if self.offset == self.length {
            self.finish()?;
        }
        Ok(chunk.into())
    }

    fn finish(&mut self) -> io::Result<()> {
        let Some((execution, work)) = self.execution.take() else { return Ok(()) };
        execution.commit(&work).map(drop).map_err(|_| truncation_error())
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
            return self.abort.poll(context);
        }
        Poll::Ready(Some(self.next_chunk().map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.offset == self.length
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length - self.offset)
    }
}

/// A body that announces its full length and is aborted after half of its bytes.
#[derive(Debug)]
pub(crate) struct TruncatedBody {
    first_half: Option<Bytes>,
    length: u64,
    abort: DelayedAbort,
}

impl TruncatedBody {
    pub(crate) fn new(bytes: &Bytes) -> Self {
        let first_half = bytes.slice(..bytes.len() / 2);
        Self {
            first_half: Some(first_half),
            length: bytes.len() as u64,
            abort: DelayedAbort::default(),
        }
    }
}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.first_half.take() {
            Some(first_half) => Poll::Ready(Some(Ok(Frame::data(first_half)))),
            None => self.abort.poll(context),
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}

fn truncation_error() -> io::Error {
    io::Error::other("the response is truncated")
}
