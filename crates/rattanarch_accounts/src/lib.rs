//! Pure decisions on client accounts: which account a key belongs to, and which requests are within an
//! account's quota over all daemons.
//!
//! Nothing here does I/O, reads a clock or draws a random number. An [`AccountTable`] holds the accounts of one version
//! of the configuration. A [`QuotaClient`] in each daemon admits requests by tokens that it gets from a
//! [`QuotaCoordinator`] in one of them; a [`QuotaRule`] bounds what all of them admit together.
//!
//! ```
//! use rattanarch_accounts::{Account, AccountTable};
//!
//! let table = AccountTable::new(vec![(Account::new("harbour"), vec!["k-1".to_owned()])])?;
//! assert_eq!(table.find(b"k-1").map(|account| account.name.as_str()), Some("harbour"));
//! assert!(table.find(b"k-2").is_none());
//! # Ok::<(), rattanarch_accounts::AccountError>(())
//! ```

mod account;
mod account_table;
mod account_use;
mod allowance;
mod quota_client;
mod quota_coordinator;
mod quota_group;
mod quota_messages;
mod quota_rule;
mod quota_token;
mod rate_limit;
mod static_share;
mod token_bucket;

pub use account::Account;
pub use account_table::AccountError;
pub use account_table::AccountTable;
pub use account_use::AccountCounts;
pub use account_use::AccountUse;
pub use quota_client::QuotaClient;
pub use quota_client::QuotaOutput;
pub use quota_client::QuotaVerdict;
pub use quota_coordinator::QuotaCoordinator;
pub use quota_group::QUOTA_GROUPS;
pub use quota_group::QuotaGroupId;
pub use quota_group::QuotaMember;
pub use quota_group::quota_group;
pub use quota_messages::QuotaGrant;
pub use quota_messages::QuotaRequest;
pub use quota_messages::QuotaShare;
pub use quota_messages::QuotaWant;
pub use quota_rule::QuotaRule;
pub use quota_token::QuotaToken;
pub use rate_limit::RateLimit;
