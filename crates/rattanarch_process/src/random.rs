//! Random numbers.

/// A random number above 0 from the operating system.
pub fn random() -> u64 {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).expect("the operating system gives random bytes");
    u64::from_le_bytes(bytes).max(1)
}
