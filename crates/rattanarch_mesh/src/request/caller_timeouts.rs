//! Estimate of the time that callers have spent on earlier attempts of their own.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// Ratio of the longest timeout seen on a route that a caller's first attempt has at least.
const FIRST_ATTEMPT_RATIO: f64 = 0.82;

/// Longest timeout that callers of each route have sent.
#[derive(Debug, Default)]
pub(crate) struct CallerTimeouts {
    routes: RefCell<HashMap<String, Duration>>,
}

impl CallerTimeouts {
    /// Time that a caller of `route` with `left` has spent on earlier attempts, taken from how far `left`
    /// is below the timeout of the route's first attempts.
    pub(crate) fn time_spent(&self, route: &str, left: Duration) -> Duration {
        let mut routes = self.routes.borrow_mut();
        match routes.get_mut(route) {
            Some(longest) => {
                *longest = left.max(*longest);
                longest.mul_f64(FIRST_ATTEMPT_RATIO).saturating_sub(left)
            }
            None => {
                routes.insert(route.to_owned(), left);
                Duration::ZERO
            }
        }
    }
}
