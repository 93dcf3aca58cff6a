//! A client account.

use rattanarch_types::FlowId;
use rattanarch_types::Rank;
use rattanarch_types::hash_key;

use crate::RateLimit;

/// A client account, without its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name given by the operators; unique in a configuration.
    pub name: String,
    /// Rank of its requests in place of that of the route; 0 is the most urgent.
    pub priority: Option<Rank>,
    /// Limit on its requests; `None` if there is none.
    pub limit: Option<RateLimit>,
    /// Flow of its requests, and its id in messages between daemons: the hash of the name.
    pub flow: FlowId,
}

impl Account {
    /// An account without a priority and a limit.
    pub fn new(name: impl Into<String>) -> Self {
        let name = name.into();
        Self { flow: hash_key(&name), name, priority: None, limit: None }
    }
}
