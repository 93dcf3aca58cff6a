//! Lookup of accounts by key.

use rattanarch_accounts::Account;
use rattanarch_accounts::AccountError;
use rattanarch_accounts::AccountTable;

fn table(accounts: &[(&str, &[&str])]) -> Result<AccountTable, AccountError> {
    let with_keys = |(name, keys): &(&str, &[&str])| {
        (Account::new(*name), keys.iter().map(|key| (*key).to_owned()).collect())
    };
    AccountTable::new(accounts.iter().map(with_keys).collect())
}

/// Guards against access with a part of a key, with an empty key or through an account without keys.
#[test]
fn exact_keys_only() {
    let table = table(&[("a", &["k-1", "k-2", ""]), ("b", &["k-3", "ü \u{7}"]), ("c", &[])]);
    let table = table.expect("keys are distinct");
    let name = |key: &[u8]| table.find(key).map(|account| account.name.as_str());
    assert_eq!((name(b"k-1"), name(b"k-2"), name(b"k-3")), (Some("a"), Some("a"), Some("b")));
    assert_eq!(name("ü \u{7}".as_bytes()), Some("b"));
    for unknown in [&b""[..], b"k-", b"k-11", b" k-1", b"K-1", b"k-1\0", b"\xff"] {
        assert_eq!(name(unknown), None, "{unknown:?}");
    }
}

/// Guards against an ambiguous key that grants the rights of whichever account comes first, and against its disclosure.
#[test]
fn shared_key_rejected() {
    let error = table(&[("a", &["secret"]), ("b", &["secret"])]).expect_err("the key is shared");
    assert_eq!(error, AccountError::SharedKey("a".to_owned(), "b".to_owned()));
    assert!(!error.to_string().contains("secret"));
    assert!(table(&[("a", &["secret", "secret"])]).is_ok(), "one account may repeat its key");
    assert!(table(&[("a", &["k-1"]), ("a", &["k-2"])]).is_err(), "names are unique");
}
