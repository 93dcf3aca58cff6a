//! A request of a client account that is within the account's quota.

use std::rc::Rc;

use rattanarch_accounts::Account;
use rattanarch_accounts::QuotaToken;
use rattanarch_accounts::QuotaVerdict;
use rattanarch_types::FlowId;

use crate::control;
use crate::process::Shared;
use crate::request::Decision;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::RequestTrace;

/// A request that is within the quota of its account, or needs no quota.
pub(crate) struct AccountRequest {
    shared: Rc<Shared>,
    token: Option<(FlowId, QuotaToken)>,
}

impl AccountRequest {
    /// Admits a request of `account`; `None` for a request that belongs to no account.
    ///
    /// # Errors
    /// If the account is over its quota.
    pub(crate) async fn admit(
        shared: &Rc<Shared>,
        account: Option<&Account>,
        trace: &RequestTrace,
    ) -> Result<Self, Refusal> {
        let without_token = Self { shared: Rc::clone(shared), token: None };
        let Some(account) = account else { return Ok(without_token) };
        let verdict = control::request_quota(shared, account).await;
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
                let account = account.name.clone();
                trace.add(Decision::OverQuota { account, retry_after });
                Err(Refusal::new(Reason::OverQuota, retry_after))
            }
        }
    }

    /// Gives the token back if the request ended with a refusal by the daemons.
    pub(crate) fn end(&self, outcome: &Outcome) {
        if matches!(outcome, Outcome::Refused(refusal) if !refusal.by_upstream) {
            self.give_back();
        }
    }

    /// Gives the token back, since the request was not sent to an upstream.
    pub(crate) fn give_back(&self) {
        if let Some((flow, token)) = self.token {
            control::give_back_quota(&self.shared, flow, token);
        }
    }
}
