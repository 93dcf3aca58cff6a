//! File content that a reader can check at any offset.

use xxhash_rust::xxh3::xxh3_64;

/// Content is made of blocks of this many bytes.
const BLOCK_BYTES: u64 = 8;

/// Content of one file: it depends on the name and the offset, so that a piece of another file, a
/// repeated piece and a missing piece each differ from it.
#[derive(Clone, Copy, Debug)]
pub struct Content {
    seed: u64,
}

impl Content {
    /// Content of the file `name`.
    pub fn new(name: &str) -> Self {
        Self { seed: xxh3_64(name.as_bytes()) }
    }

    /// Writes the content that starts at `offset`.
    pub fn fill(self, offset: u64, buffer: &mut [u8]) {
        let mut at = offset;
        let mut rest = buffer;
        while !rest.is_empty() {
            let block = self.block(at / BLOCK_BYTES);
            let tail = &block[(at % BLOCK_BYTES) as usize..];
            let count = tail.len().min(rest.len());
            let (piece, after) = rest.split_at_mut(count);
            piece.copy_from_slice(&tail[..count]);
            at += count as u64;
            rest = after;
        }
    }

    /// Whether `bytes` is the content that starts at `offset`.
    pub fn matches(self, offset: u64, bytes: &[u8]) -> bool {
        let mut expected = vec![0; bytes.len()];
        self.fill(offset, &mut expected);
        expected == bytes
    }

    /// One step of `SplitMix64` from the block's number.
    fn block(self, number: u64) -> [u8; BLOCK_BYTES as usize] {
        let mut mixed = self.seed.wrapping_add(number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)).to_le_bytes()
    }
}
