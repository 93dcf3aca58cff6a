//! This daemon's shares of the retry budgets.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use rattanarch_routing::RetryKind;
use rattanarch_routing::RetryLimits;
use rattanarch_routing::RetryShare;
use rattanarch_types::Moment;
use rattanarch_types::ServiceName;

use crate::process::Shared;

/// This daemon's shares of the common retry budgets, by service.
pub(crate) struct RetryShares {
    shared: Rc<Shared>,
    shares: RefCell<HashMap<ServiceName, RetryShare>>,
}

impl RetryShares {
    pub(crate) fn new(shared: Rc<Shared>) -> Self {
        Self { shared, shares: RefCell::default() }
    }

    /// Counts a request to `service`.
    pub(crate) fn count_request(&self, service: &str) {
        self.with_share(service, |share, now, _| share.count_request(now));
    }

    /// Counts a nested call of a run that is itself a retry.
    pub(crate) fn count_retry(&self, service: &str) {
        self.with_share(service, |share, now, _| share.count_retry(now));
        self.shared.meters.retry(service, "call");
    }

    /// Takes a retry out of the share of `service`; returns whether it may be sent.
    pub(crate) fn try_spend(&self, service: &str, kind: RetryKind) -> bool {
        let granted =
            self.with_share(service, |share, now, daemons| share.try_spend(now, daemons, kind));
        self.shared.meters.retry(service, if granted { "yes" } else { "no" });
        granted
    }

    fn with_share<T>(
        &self,
        service: &str,
        apply: impl FnOnce(&mut RetryShare, Moment, usize) -> T,
    ) -> T {
        let daemons = self.shared.knowledge.borrow().daemon_count();
        let mut shares = self.shares.borrow_mut();
        if !shares.contains_key(service) {
            shares.insert(service.to_owned(), self.new_share());
        }
        let share = shares.get_mut(service).expect("inserted above");
        apply(share, self.shared.now(), daemons)
    }

    fn new_share(&self) -> RetryShare {
        let bounds = self.shared.bounds.get();
        RetryShare::new(RetryLimits {
            ratio: bounds.retry_ratio,
            window: bounds.retry_window,
            slack: bounds.retry_slack,
        })
    }
}
