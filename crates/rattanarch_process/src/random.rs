//! Random numbers.

/// A random number above 0 from the operating system.
pub fn random() -> u64 {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).expect("the operating system gives random bytes");
    u64::from_le_bytes(bytes).max(1)
}

/// A random number from 0 to 1.
pub fn random_fraction() -> f64 {
    random() as f64 / u64::MAX as f64
}

/// A random place in a list of `count`; 0 in an empty one.
pub fn random_index(count: usize) -> usize {
    ((u128::from(random()) * count as u128) >> u64::BITS) as usize
}
