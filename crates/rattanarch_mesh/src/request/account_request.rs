//! A request of a client account that is within the account's quota.

use std::rc::Rc;
use std::time::Duration;

use rattanarch_accounts::Account;
use rattanarch_accounts::QuotaToken;
use rattanarch_accounts::QuotaVerdict;
use rattanarch_types::FlowId;
use rattanarch_types::Moment;

use crate::control;
use crate::process::Shared;
use crate::request::Decision;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::RequestTrace;

/// Part of the time until the deadline that a request may wait for a grant; the rest is left for its run.
const WAIT_RATIO: f64 = 0.4;

/// A request that is within the quota of its account, or needs no quota.
pub(crate) struct AccountRequest {
    shared: Rc<Shared>,
    token: Option<(FlowId, QuotaToken)>,
}

impl AccountRequest {
    /// Checks before the body of a request of `account` is read whether the account is known to be over its quota, so that
    /// such bodies take no memory. Takes no token.
    ///
    /// # Errors
    /// If it is.
    pub(crate) fn check(
        shared: &Shared,
        account: Option<&Account>,
        trace: &RequestTrace,
    ) -> Result<(), Refusal> {
        let Some(account) = account else { return Ok(()) };
        let Some(retry_after) = control::refuse_early(shared, account) else { return Ok(()) };
        shared.meters.account_request(account, false);
        Err(over_quota(account, retry_after, trace))
    }

    /// Admits a request of `account` that has been read and has until `deadline`; `None` for a request that belongs to no
    /// account. A token that was taken before the body was read would be used as late as the body ends, in a window that
    /// grants its own tokens.
    ///
    /// # Errors
    /// If the account is over its quota, or no grant arrives in time.
    pub(crate) async fn admit(
        shared: &Rc<Shared>,
        account: Option<&Account>,
        deadline: Moment,
        trace: &RequestTrace,
    ) -> Result<Self, Refusal> {
        let without_token = Self { shared: Rc::clone(shared), token: None };
        let Some(account) = account else { return Ok(without_token) };
        let max_wait = deadline.saturating_sub(shared.now()).mul_f64(WAIT_RATIO);
        let verdict = control::request_quota(shared, account, max_wait).await;
        let refused = matches!(verdict, Some(QuotaVerdict::Refused(_)));
        shared.meters.account_request(account, !refused);
        match verdict {
            None => Ok(without_token),
            Some(QuotaVerdict::Admitted(token)) => {
                if token.is_static() {
                    shared.meters.static_quota();
                }
                Ok(Self { token: Some((account.flow, token)), ..without_token })
            }
            Some(QuotaVerdict::Refused(retry_after)) => {
                Err(over_quota(account, retry_after, trace))
            }
        }
    }

    /// Gives the token back if the request ended with a refusal by the daemons.
    pub(crate) fn end(&self, outcome: &Outcome) {
        if let Some((flow, token)) = self.token
            && matches!(outcome, Outcome::Refused(refusal) if !refusal.by_upstream)
        {
            control::give_back_quota(&self.shared, flow, token);
        }
    }
}

fn over_quota(account: &Account, retry_after: Duration, trace: &RequestTrace) -> Refusal {
    trace.add(Decision::OverQuota { account: account.name.clone(), retry_after });
    Refusal::new(Reason::OverQuota, retry_after)
}
