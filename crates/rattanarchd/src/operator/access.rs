//! Who may operate.

use rattanarch_config::Operator;
use sha2::Digest;
use sha2::Sha256;
use subtle::Choice;
use subtle::ConditionallySelectable;
use subtle::ConstantTimeEq;

use crate::process::OperatorSettings;

/// Bytes of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// Operators by their tokens. Tokens are kept only as digests and appear in no output.
#[derive(Clone, Default)]
pub struct Access {
    entries: Vec<([u8; DIGEST_BYTES], Operator)>,
}

impl Access {
    /// Lets in the operators of the settings; entries whose digest is malformed let in nobody.
    pub fn new(settings: &[OperatorSettings]) -> Self {
        let entry = |one: &OperatorSettings| {
            let operator = Operator { name: one.name.clone(), firm: one.firm.clone() };
            Some((read_digest(&one.token_sha256)?, operator))
        };
        Self { entries: settings.iter().filter_map(entry).collect() }
    }

    /// The operator whose token this is.
    ///
    /// Every entry is compared in constant time, so that the duration tells nothing of the tokens.
    pub fn prove(&self, token: &str) -> Option<&Operator> {
        let digest = Sha256::digest(token.as_bytes());
        let mut found = Choice::from(0);
        let mut at = 0_u64;
        for (number, (known, _)) in self.entries.iter().enumerate() {
            let is_it = known.as_slice().ct_eq(digest.as_slice());
            at.conditional_assign(&(number as u64), is_it);
            found |= is_it;
        }
        bool::from(found).then(|| &self.entries[at as usize].1)
    }
}

impl std::fmt::Debug for Access {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Access").field("operators", &self.entries.len()).finish()
    }
}

fn read_digest(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    let mut digest = [0; DIGEST_BYTES];
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return None;
    }
    for (at, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(digest)
}
