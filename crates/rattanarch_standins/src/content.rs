//! Generated file content that can be verified at any offset.

use xxhash_rust::xxh3::xxh3_64;

/// Size of the blocks in which content is generated.
const BLOCK_BYTES: u64 = 8;

/// Content of one file. Each block depends on the file's name and the block's position, so that data
/// of another file, repeated data and missing data are detected.
#[derive(Clone, Copy, Debug)]
pub struct Content {
    seed: u64,
}

impl Content {
    /// Creates the content of the file `name`.
    pub fn new(name: &str) -> Self {
        Self { seed: xxh3_64(name.as_bytes()) }
    }

    /// Fills `buffer` with the content that starts at `offset`.
    pub fn fill(self, offset: u64, buffer: &mut [u8]) {
        let mut position = offset;
        let mut remaining = buffer;
        while !remaining.is_empty() {
            let block = self.block(position / BLOCK_BYTES);
            let tail = &block[(position % BLOCK_BYTES) as usize..];
            let count = tail.len().min(remaining.len());
            let (chunk, rest) = remaining.split_at_mut(count);
            chunk.copy_from_slice(&tail[..count]);
            position += count as u64;
            remaining = rest;
        }
    }

    /// Whether `bytes` is the content that starts at `offset`.
    pub fn matches(self, offset: u64, bytes: &[u8]) -> bool {
        let mut expected = vec![0; bytes.len()];
        self.fill(offset, &mut expected);
        expected == bytes
    }

    /// Generates the block `number`: the output of that number of `SplitMix64`, seeded by the file's name.
    fn block(self, number: u64) -> [u8; BLOCK_BYTES as usize] {
        let mut mixed = self.seed.wrapping_add(number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)).to_le_bytes()
    }
}
