//! Authentication of operators by their tokens.

use rattanarch_config::Operator;
use sha2::Digest;
use sha2::Sha256;
use subtle::Choice;
use subtle::ConditionallySelectable;
use subtle::ConstantTimeEq;

use crate::process::OperatorSettings;

/// Bytes of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// Operators by the digests of their tokens. The tokens themselves are not stored and appear in no output.
#[derive(Clone, Default)]
pub struct Access {
    entries: Vec<([u8; DIGEST_BYTES], Operator)>,
}

impl Access {
    /// Grants access to the operators of the settings; entries with a malformed digest, which the
    /// settings check refuses, are skipped.
    pub fn new(settings: &[OperatorSettings]) -> Self {
        let entry = |settings: &OperatorSettings| {
            let operator = Operator { name: settings.name.clone(), firm: settings.firm.clone() };
            Some((parse_digest(&settings.token_sha256)?, operator))
        };
        Self { entries: settings.iter().filter_map(entry).collect() }
    }

    /// Operator with this token; `None` if there is none.
    ///
    /// Compares the digests of all entries in constant time, so that the duration reveals nothing about the tokens.
    pub fn authenticate(&self, token: &str) -> Option<&Operator> {
        let digest = Sha256::digest(token.as_bytes());
        let mut found = Choice::from(0);
        let mut found_index = 0_u64;
        for (index, (known_digest, _)) in self.entries.iter().enumerate() {
            let matches = known_digest.as_slice().ct_eq(digest.as_slice());
            found_index.conditional_assign(&(index as u64), matches);
            found |= matches;
        }
        bool::from(found).then(|| &self.entries[found_index as usize].1)
    }
}

impl std::fmt::Debug for Access {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Access").field("operators", &self.entries.len()).finish()
    }
}

fn parse_digest(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    let mut digest = [0; DIGEST_BYTES];
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return None;
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
