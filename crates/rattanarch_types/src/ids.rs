//! Aliases for ids that several crates use.

/// Identifies one incarnation of an instance: drawn at random at each process start and each rejoin.
///
/// Never 0.
pub type BootId = u64;

/// Identifies an instance, the slot of one upstream and its daemon. It stays the same across restarts.
pub type InstanceId = String;

/// Name of a data centre; unique across all firms.
pub type DataCentreName = String;

/// Name of a firm.
pub type FirmName = String;

/// Name of a service; unique across all firms.
pub type ServiceName = String;

/// Name of an operator.
pub type OperatorName = String;

/// Index of a slice of a service's key space: from 0, below the service's slice count.
pub type SliceId = u16;

/// Version of a stored object: 0 before it exists, then incremented by each accepted write.
///
/// On a store that may be restored from an older copy, the upper bits hold its era; see
/// [`era_of`](crate::era_of).
pub type Version = u64;

/// Identifies one attempt to write an object, so that reading the object back shows whether a write whose response
/// was lost took effect.
pub type WriteId = u64;

/// Fencing token: an upstream refuses tokens lower than the highest one it has accepted.
pub type Fence = u64;

/// Group of requests that share an upstream fairly with other groups: the hash of the client account's name.
pub type FlowId = u64;
