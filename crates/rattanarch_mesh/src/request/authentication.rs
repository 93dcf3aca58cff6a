//! Which client account sends a request.

use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use hyper::HeaderMap;
use rattanarch_accounts::Account;
use rattanarch_accounts::AccountTable;
use rattanarch_adapter::headers::AccountKey;
use rattanarch_adapter::headers::account_key;
use rattanarch_routing::Rule;

use crate::process::Shared;
use crate::request::Reason;
use crate::request::Refusal;
use crate::upstream::ENDED_REQUEST_TIME;

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rejection {
    /// Its key is not valid.
    Key(KeyError),
    /// Whether it needs a key can't be told yet.
    Undecided(Refusal),
}

/// What is wrong with a request's key. Nothing of the key is shown.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum KeyError {
    #[display("key missing")]
    Missing,
    #[display("key malformed")]
    Malformed,
    #[display("key unknown")]
    Unknown,
}

/// Finds the account that sends the request `id` for `rule`; `None` if the request needs none: the route has `no_auth`,
/// or the upstream makes it for a request that it runs. Nothing is kept between two requests of a connection, so a
/// removed key is invalid as soon as the configuration is in force.
///
/// # Errors
/// If the request must not run.
pub(crate) fn authenticate(
    shared: &Shared,
    (headers, id): (&HeaderMap, &str),
    rule: &Rule,
    accounts: &AccountTable,
) -> Result<Option<Rc<Account>>, Rejection> {
    if rule.no_auth {
        return Ok(None);
    }
    match account_key(headers) {
        AccountKey::Present(key) => {
            accounts.find(key).cloned().map(Some).ok_or(Rejection::Key(KeyError::Unknown))
        }
        AccountKey::Malformed => Err(Rejection::Key(KeyError::Malformed)),
        AccountKey::Missing if is_nested_call(shared, id) => Ok(None),
        AccountKey::Missing => Err(without_key(shared, id)),
    }
}

/// Whether the upstream makes the call for a request that it runs, or that ended a moment ago.
fn is_nested_call(shared: &Shared, id: &str) -> bool {
    let state = shared.upstream.state.borrow();
    state.parent_request(id).is_some() || state.has_ended_parent(shared.now(), id)
}

/// The rejection of the request `id`, which has no key and no known parent. An earlier process of this daemon may have
/// sent its parent to the upstream, but only if it was running a moment ago.
fn without_key(shared: &Shared, id: &str) -> Rejection {
    let started = shared.control.borrow().started;
    let left = (started + ENDED_REQUEST_TIME).saturating_sub(shared.now());
    if left > Duration::ZERO && id.contains('.') {
        return Rejection::Undecided(Refusal::new(Reason::Starting, left));
    }
    Rejection::Key(KeyError::Missing)
}
