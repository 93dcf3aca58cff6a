//! Shares of a machine's memory and descriptors.

/// Memory of a machine in MB if it is not known: the largest of the known ones.
const DEFAULT_MEMORY: usize = 512;

/// Descriptors of a process if they are not known: the fewest of the known ones, rounded down.
const DEFAULT_DESCRIPTORS: usize = 4_096;

/// Memory in bytes of a process at rest (12 MB), with its records and what the allocator holds.
const BASE_BYTES: usize = 24 << 20;

/// Largest number of descriptors that are kept for peers, the store, the upstream and files.
const MAX_DESCRIPTOR_RESERVE: usize = 256;

/// Memory in bytes of a connection: the buffer of a head of 16 KiB, of which the HTTP codec may allocate twice as much,
/// and the state of its task.
const CONNECTION_BYTES: usize = 40 << 10;

/// Fewest connections of a listener.
const MIN_CONNECTIONS: usize = 16;

/// Bounds of what callers and peers may make a process hold, derived from its machine.
///
/// Designed for machines of 160 to 512 MB and 4,100 to 8,192 descriptors.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CapacityPlan {
    /// Bytes of bodies and responses.
    pub budget: usize,
    /// Part of `budget` that is only for the first bytes of bodies.
    pub first_reserve: usize,
    /// Connections at the listener for callers.
    pub callers: usize,
    /// Connections at the listener for peers.
    pub peers: usize,
    /// Connections at each other listener.
    pub others: usize,
}

impl CapacityPlan {
    /// The plan for a machine with `memory` MB and `descriptors`; 0 if one is not known.
    pub fn new(memory: usize, descriptors: usize) -> Self {
        let memory = if memory == 0 { DEFAULT_MEMORY } else { memory };
        let memory = memory.saturating_mul(1 << 20);
        let descriptors = if descriptors == 0 { DEFAULT_DESCRIPTORS } else { descriptors };
        let budget = memory.saturating_sub(BASE_BYTES).max(memory / 4) / 10 * 6;
        let reserve = MAX_DESCRIPTOR_RESERVE.min(descriptors / 4);
        let connections = (descriptors - reserve).min(memory / 4 / CONNECTION_BYTES);
        Self {
            budget,
            first_reserve: budget / 8,
            callers: (connections / 2).max(MIN_CONNECTIONS),
            peers: (connections * 3 / 8).max(MIN_CONNECTIONS),
            others: (connections / 24).max(MIN_CONNECTIONS),
        }
    }
}
