//! Random numbers from the operating system.

/// A random number above 0.
pub fn random() -> u64 {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).expect("the operating system provides random bytes");
    u64::from_le_bytes(bytes).max(1)
}

/// A random number from 0 to 1.
pub fn random_fraction() -> f64 {
    random() as f64 / u64::MAX as f64
}

/// A random index into a list of `count` elements; 0 if it is empty.
pub fn random_index(count: usize) -> usize {
    ((u128::from(random()) * count as u128) >> u64::BITS) as usize
}
