//! Aliases for the ids that travel between crates.

/// Names one life of an instance; drawn at random by each process start and by each rejoin.
///
/// Zero is never drawn.
pub type BootId = u64;

/// Names an instance: the slot beside one upstream. It outlives restarts.
pub type InstanceId = String;

/// Names a data centre, unique over all firms.
pub type DataCentreName = String;

/// Names a firm.
pub type FirmName = String;

/// Names a service, unique over all firms.
pub type ServiceName = String;

/// Names an operator.
pub type OperatorName = String;

/// Numbers a slice of a service's key space, from 0 up to the service's slice count.
pub type SliceId = u16;

/// Version of a stored object: 0 before it exists, then one more with each accepted write.
pub type Version = u64;

/// Marks one attempt to write an object, so that a lost answer is settled by reading back.
pub type WriteId = u64;

/// Fencing token: an upstream refuses a token lower than the highest it has taken.
pub type Fence = u64;
