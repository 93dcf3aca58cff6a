//! Bounded buffers for responses that are read whole.

use std::cell::Cell;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::connection::HeldBytes;
use crate::connection::HeldGuard;

/// Largest response in bytes; the largest known ones have a tenth.
const MAX_RESPONSE: usize = 8 << 20;

/// Bytes that every response may have, whatever the others take: more than the largest known ones have, so that a
/// faulty upstream's endless responses fail no sound one.
const OWN_BYTES: usize = 1 << 20;

/// Bytes that all responses together may have beyond [`OWN_BYTES`] each: with as many as an upstream has slots, less
/// than half of the memory of the smallest known machines.
const SHARED_BYTES: usize = 24 << 20;

/// Bytes of a response that are not charged to the budget: they are few for each connection.
pub(crate) const UNCHARGED_BYTES: usize = 4 << 10;

/// Why a response was not read whole.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BufferError {
    /// The connection failed or ended early.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
    /// The response is longer than any may be.
    #[error("the response has more than {MAX_RESPONSE} bytes")]
    TooLong,
    /// Too many long responses are read at once.
    #[error("no buffer is left for a response of more than {OWN_BYTES} bytes")]
    NoneLeft,
}

/// Buffers of the responses that a process reads at present.
#[derive(Debug, Default)]
pub(crate) struct Buffers {
    /// Bytes in use beyond [`OWN_BYTES`] of each response; at most [`SHARED_BYTES`].
    used: Cell<usize>,
}

/// What one response has taken of the shared bytes; returned when it is dropped.
struct Share<'a> {
    buffers: &'a Buffers,
    bytes: usize,
}

impl Buffers {
    /// Reads `body` to its end. A longer one is charged to `held` until the guard is dropped.
    ///
    /// # Errors
    /// See [`BufferError`].
    pub(crate) async fn read(
        &self,
        mut body: Incoming,
        held: &HeldBytes,
    ) -> Result<(Bytes, Option<HeldGuard>), BufferError> {
        let mut share = Share { buffers: self, bytes: 0 };
        let announced = body.size_hint().exact().unwrap_or_default();
        // Memory that is not written to is not resident, so this takes none before the bytes arrive.
        let mut whole = BytesMut::with_capacity(MAX_RESPONSE.min(announced as usize));
        let mut guard: Option<HeldGuard> = None;
        while let Some(frame) = body.frame().await {
            let Ok(chunk) = frame?.into_data() else { continue };
            let length = whole.len() + chunk.len();
            if length > MAX_RESPONSE {
                return Err(BufferError::TooLong);
            }
            share.grow(length.saturating_sub(OWN_BYTES))?;
            if length > UNCHARGED_BYTES {
                let first = guard.is_none();
                let guard = guard.get_or_insert_with(|| held.open_response());
                let fits = guard.charge_response(if first { length } else { chunk.len() });
                if !fits && length > OWN_BYTES {
                    return Err(BufferError::NoneLeft);
                }
            }
            whole.extend_from_slice(&chunk);
        }
        Ok((whole.freeze(), guard))
    }
}

impl Share<'_> {
    /// Takes shared bytes until this response has `bytes` of them.
    fn grow(&mut self, bytes: usize) -> Result<(), BufferError> {
        let used = self.buffers.used.get() + bytes - self.bytes;
        if bytes > self.bytes && used > SHARED_BYTES {
            return Err(BufferError::NoneLeft);
        }
        self.buffers.used.set(used);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.buffers.used.set(self.buffers.used.get() - self.bytes);
    }
}
