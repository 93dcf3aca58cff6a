//! The accounts of one version of the configuration, by key.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::rc::Rc;

use rattanarch_types::FlowId;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::Account;

/// SHA-256 of a key.
type KeyDigest = [u8; 32];

/// First bytes of a digest, by which digests are indexed.
type DigestIndex = [u8; 8];

/// Why accounts can't be used together. No message contains a key.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AccountError {
    /// Two accounts have the same name, or names with the same hash.
    #[error("account {0:?} is defined twice")]
    DuplicateName(String),
    /// Two accounts have the same key.
    #[error("accounts {0:?} and {1:?} have the same key")]
    SharedKey(String, String),
}

/// The accounts of one version of the configuration; immutable.
///
/// Designed for some hundred accounts with a few keys each and 35 to 500 lookups a second on 0.1 of a core: a lookup is
/// one SHA-256 and one access to a hash table. Keys are not stored, only their digests. The table is indexed by the
/// start of the digest, and the whole digest is compared in constant time, so that the time of a lookup tells nothing
/// about the keys.
#[derive(Clone, Default)]
pub struct AccountTable {
    by_key: HashMap<DigestIndex, Vec<(KeyDigest, Rc<Account>)>>,
    by_flow: HashMap<FlowId, Rc<Account>>,
}

impl fmt::Debug for AccountTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AccountTable")
            .field("accounts", &self.by_flow.len())
            .finish_non_exhaustive()
    }
}

impl AccountTable {
    /// Creates the table of accounts with their keys. An empty key is ignored, since a request can't carry it.
    ///
    /// # Errors
    /// If a name or a key is in two accounts.
    pub fn new(accounts: Vec<(Account, Vec<String>)>) -> Result<Self, AccountError> {
        let mut table = Self::default();
        let mut names = HashSet::new();
        for (account, keys) in accounts {
            if !names.insert(account.flow) {
                return Err(AccountError::DuplicateName(account.name));
            }
            let account = Rc::new(account);
            for key in keys.iter().filter(|key| !key.is_empty()) {
                table.add_key(key, &account)?;
            }
            table.by_flow.insert(account.flow, account);
        }
        Ok(table)
    }

    fn add_key(&mut self, key: &str, account: &Rc<Account>) -> Result<(), AccountError> {
        let digest = digest(key.as_bytes());
        if let Some(other) = self.find_digest(&digest) {
            if other.name == account.name {
                return Ok(());
            }
            return Err(AccountError::SharedKey(other.name.clone(), account.name.clone()));
        }
        self.by_key.entry(index(&digest)).or_default().push((digest, Rc::clone(account)));
        Ok(())
    }

    /// The account with `key`.
    pub fn find(&self, key: &[u8]) -> Option<&Rc<Account>> {
        if key.is_empty() {
            return None;
        }
        self.find_digest(&digest(key))
    }

    fn find_digest(&self, digest: &KeyDigest) -> Option<&Rc<Account>> {
        let candidates = self.by_key.get(&index(digest))?;
        candidates
            .iter()
            .find(|(known, _)| bool::from(known.ct_eq(digest)))
            .map(|(_, account)| account)
    }

    /// The account with the flow `flow`.
    pub fn by_flow(&self, flow: FlowId) -> Option<&Rc<Account>> {
        self.by_flow.get(&flow)
    }

    /// Number of accounts.
    pub fn len(&self) -> usize {
        self.by_flow.len()
    }

    /// Whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.by_flow.is_empty()
    }
}

fn digest(key: &[u8]) -> KeyDigest {
    Sha256::digest(key).into()
}

fn index(digest: &KeyDigest) -> DigestIndex {
    let mut index = DigestIndex::default();
    index.copy_from_slice(&digest[..size_of::<DigestIndex>()]);
    index
}
