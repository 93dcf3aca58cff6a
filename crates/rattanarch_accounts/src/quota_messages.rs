//! Messages between a daemon and the coordinator of a group of accounts.

use rattanarch_types::FlowId;

use crate::QuotaGroupId;

/// What a daemon wants for one account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaWant {
    /// The account.
    pub flow: FlowId,
    /// Requests that wait for the grant.
    pub waiting: u32,
    /// Tokens wanted in advance.
    pub spare: u32,
}

/// A daemon's request to the coordinator of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaRequest {
    /// Increases with each request of the daemon; repeated in the grant.
    pub sequence: u64,
    /// The group.
    pub group: QuotaGroupId,
    /// Whether no other coordinator of the group counts the daemon any more.
    pub settled: bool,
    /// Whether the daemon has changed to another coordinator.
    pub released: bool,
    /// Whether the tokens for requests that wait shall be valid for 600 ms instead of 200 ms, since replies take long.
    pub long_valid: bool,
    /// Accounts with wants; may be empty.
    pub accounts: Vec<QuotaWant>,
}

/// What a coordinator grants for one account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaShare {
    /// The account.
    pub flow: FlowId,
    /// Tokens granted, first for requests that wait.
    pub granted: u32,
    /// Milliseconds until there is a token for the first request that got none.
    pub wait_ms: u32,
}

/// A coordinator's reply to a [`QuotaRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaGrant {
    /// Sequence of the request.
    pub sequence: u64,
    /// The group.
    pub group: QuotaGroupId,
    /// Whether the tokens for requests that wait are valid for 600 ms instead of 200 ms.
    pub long_valid: bool,
    /// Accounts of the request that the coordinator knows and can grant tokens of.
    pub accounts: Vec<QuotaShare>,
}
