//! Counts of requests by account.

use std::collections::HashMap;

use rattanarch_types::FlowId;

use crate::Account;

/// Number of accounts that are reported by name.
const NAMED_ACCOUNTS: usize = 8;

/// Name under which the counts of all other accounts are reported.
const OTHER_ACCOUNTS: &str = "other";

/// Counts of one account, or of several together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AccountCounts {
    /// Name of the account.
    pub name: String,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that were refused because they were over the quota.
    pub over_quota: u64,
}

/// Counts of requests by account, so that the busiest are reported by name and the rest in sum.
#[derive(Clone, Debug, Default)]
pub struct AccountUse {
    counts: HashMap<FlowId, AccountCounts>,
}

impl AccountUse {
    /// Counts a request of `account`.
    pub fn count(&mut self, account: &Account, admitted: bool) {
        let counts = self.counts.entry(account.flow).or_insert_with(|| AccountCounts {
            name: account.name.clone(),
            ..AccountCounts::default()
        });
        *(if admitted { &mut counts.admitted } else { &mut counts.over_quota }) += 1;
    }

    /// Counts of the accounts with the most requests, and the sum of the others under the name `other`.
    pub fn busiest(&self) -> Vec<AccountCounts> {
        let mut all: Vec<&AccountCounts> = self.counts.values().collect();
        all.sort_by_key(|counts| {
            std::cmp::Reverse((counts.admitted + counts.over_quota, &counts.name))
        });
        let (named, others) = all.split_at(all.len().min(NAMED_ACCOUNTS));
        let sum = |of: fn(&AccountCounts) -> u64| others.iter().map(|counts| of(counts)).sum();
        let rest = AccountCounts {
            name: OTHER_ACCOUNTS.to_owned(),
            admitted: sum(|counts| counts.admitted),
            over_quota: sum(|counts| counts.over_quota),
        };
        named
            .iter()
            .map(|counts| (*counts).clone())
            .chain((!others.is_empty()).then_some(rest))
            .collect()
    }
}
