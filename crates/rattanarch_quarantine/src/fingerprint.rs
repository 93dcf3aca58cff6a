//! What requests with the same content have in common.

use derive_more::Display;
use sha2::Digest;
use sha2::Sha256;

/// Content of a request, without its body.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestContent<'a> {
    /// Service that it is sent to.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the caller named; empty if it named none.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Client account that sends it; 0 without accounts.
    pub account: u64,
}

/// Identifies a request by its content: repeats have the same fingerprint, whatever their ids and deadlines.
///
/// Both parts are taken from SHA-256, so that a caller can't find a request that shares the fingerprint of another
/// caller's.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{head:016x}{body:016x}")]
pub struct Fingerprint {
    /// Of the service, method, host, path, query and account.
    pub head: u64,
    /// Of the body; 0 for an empty one.
    pub body: u64,
}

impl Fingerprint {
    /// The fingerprint of a request with `content` whose body consists of `blocks`.
    pub fn new<'a>(
        content: &RequestContent<'_>,
        blocks: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        Self::of_parts(content.hash(), blocks)
    }

    /// The fingerprint with the given `head` of a request whose body consists of `blocks`.
    pub fn of_parts<'a>(head: u64, blocks: impl IntoIterator<Item = &'a [u8]>) -> Self {
        Self { head, body: hash_body(blocks) }
    }
}

impl RequestContent<'_> {
    /// The head of the fingerprint.
    pub fn hash(&self) -> u64 {
        let mut hash = Sha256::new();
        for part in [self.service, self.method, self.host, self.target] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update(self.account.to_be_bytes());
        first_bytes(hash)
    }
}

fn hash_body<'a>(blocks: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hash = Sha256::new();
    let mut empty = true;
    for block in blocks.into_iter().filter(|block| !block.is_empty()) {
        empty = false;
        hash.update(block);
    }
    if empty { 0 } else { first_bytes(hash) }
}

fn first_bytes(hash: Sha256) -> u64 {
    let digest = hash.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(bytes)
}
