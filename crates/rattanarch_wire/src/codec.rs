//! Encoding and authentication of frames.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use rattanarch_types::BootId;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::WireError;

/// Length of the tag: HMAC-SHA-256 truncated to 128 bits, as RFC 2104 section 5 allows.
const TAG_BYTES: usize = 16;

/// Deepest nesting that is decoded; the deepest wire type has 5 levels.
const MAX_DEPTH: usize = 16;

/// Encodes and decodes frames that are authenticated with a secret that all daemons share.
///
/// The tag proves that the sender knows the secret and that the content was not changed. The content is not
/// encrypted, and the tag does not distinguish between holders of the secret.
///
/// ```
/// use rattanarch_wire::Codec;
/// let codec = Codec::new(b"a secret of at least 16 bytes");
/// let frame = codec.encode(&(7u64, "text")).expect("the value can be encoded");
/// let value: (u64, String) = codec.decode(&frame, 1_400).expect("the frame has a valid tag");
/// assert_eq!(value, (7, "text".to_owned()));
/// ```
#[derive(Clone)]
pub struct Codec {
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for Codec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Codec")
    }
}

impl Codec {
    /// Creates a codec for `secret`, which may have any length; the settings require at least 16 bytes.
    pub fn new(secret: &[u8]) -> Self {
        let mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC accepts keys of any length");
        Self { mac }
    }

    /// Encodes `value` into a frame that starts with its tag.
    ///
    /// # Errors
    /// [`WireError::Malformed`] if the value can't be encoded.
    pub fn encode<T: Serialize>(&self, value: &T) -> Result<Vec<u8>, WireError> {
        self.encode_with_context(&[], value)
    }

    /// Encodes `value` so that only the member `to` accepts it: the tag covers the recipient, which takes no
    /// bytes in the frame.
    ///
    /// # Errors
    /// See [`Self::encode`].
    pub fn encode_for<T: Serialize>(&self, to: BootId, value: &T) -> Result<Vec<u8>, WireError> {
        self.encode_with_context(&to.to_be_bytes(), value)
    }

    /// Decodes a frame that was encoded for the member `me`.
    ///
    /// # Errors
    /// See [`Self::decode`]; a frame for another member fails with [`WireError::BadTag`].
    pub fn decode_for<T: DeserializeOwned>(
        &self,
        me: BootId,
        frame: &[u8],
        limit: usize,
    ) -> Result<T, WireError> {
        self.decode_with_context(&me.to_be_bytes(), frame, limit)
    }

    fn encode_with_context<T: Serialize>(
        &self,
        context: &[u8],
        value: &T,
    ) -> Result<Vec<u8>, WireError> {
        let mut frame = vec![0; TAG_BYTES];
        ciborium::into_writer(value, &mut frame)
            .map_err(|error| WireError::Malformed(error.to_string()))?;
        let tag = self.tag(context, &frame[TAG_BYTES..]);
        frame[..TAG_BYTES].copy_from_slice(&tag);
        Ok(frame)
    }

    /// Checks the tag of `frame`, which may have at most `limit` bytes, and decodes its content.
    ///
    /// # Errors
    /// See [`WireError`]; nothing is decoded before the tag is checked.
    pub fn decode<T: DeserializeOwned>(&self, frame: &[u8], limit: usize) -> Result<T, WireError> {
        self.decode_with_context(&[], frame, limit)
    }

    fn decode_with_context<T: DeserializeOwned>(
        &self,
        context: &[u8],
        frame: &[u8],
        limit: usize,
    ) -> Result<T, WireError> {
        if frame.len() > limit {
            return Err(WireError::TooLong { length: frame.len(), limit });
        }
        let Some((tag, content)) = frame.split_at_checked(TAG_BYTES) else {
            return Err(WireError::TooShort(frame.len()));
        };
        if !bool::from(self.tag(context, content).ct_eq(tag)) {
            return Err(WireError::BadTag);
        }
        ciborium::de::from_reader_with_recursion_limit(content, MAX_DEPTH)
            .map_err(|error| WireError::Malformed(error.to_string()))
    }

    fn tag(&self, context: &[u8], content: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = self.mac.clone();
        mac.update(context);
        mac.update(content);
        let full = mac.finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full[..TAG_BYTES]);
        tag
    }
}
