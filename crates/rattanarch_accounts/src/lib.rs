//! Pure decisions on client accounts: which account a key belongs to.
//!
//! Nothing here does I/O, reads a clock or draws a random number. An [`AccountTable`] holds the accounts of one version
//! of the configuration.
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
mod rate_limit;

pub use account::Account;
pub use account_table::AccountError;
pub use account_table::AccountTable;
pub use rate_limit::RateLimit;
