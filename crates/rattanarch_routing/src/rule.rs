//! A route and its target services.

use std::time::Duration;

use rattanarch_types::Rank;
use rattanarch_types::ServiceName;

/// Which requests of a route may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// Idempotent: any request may be retried.
    Idempotent,
    /// Idempotent, with large responses.
    Download,
    /// Must run at most once: only a request that has certainly not run may be retried.
    AtMostOnce,
}

impl RetryPolicy {
    /// Whether a request that may have run may be retried.
    pub fn is_idempotent(self) -> bool {
        self != Self::AtMostOnce
    }
}

/// One service among those that a route splits its requests over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Service that gets this part of the requests.
    pub service: ServiceName,
    /// Part of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route: which requests it matches, where they go, and how long they may take.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rule {
    /// Name given by the operators.
    pub name: String,
    /// Host that it matches, in lower case and without a port.
    pub host: String,
    /// Prefix of the paths that it matches; begins and ends with a slash.
    pub prefix: String,
    /// Which requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Services that share its requests; never empty.
    pub targets: Vec<Target>,
    /// Longest time that a caller waits for a response.
    pub timeout: Duration,
    /// Latency that responses should not exceed; later ones are worth less to the caller.
    pub target_latency: Duration,
    /// Largest number of upstreams that one request is sent to; at least 1.
    pub attempts: u32,
    /// Urgency of its requests, 0 the most urgent.
    pub rank: Rank,
    /// Whether its requests need no key of an account.
    pub no_auth: bool,
}

impl Rule {
    /// Picks the service for one request by weight; `draw` is a random number.
    ///
    /// Returns `None` only if every weight is 0.
    pub fn target(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = (u128::from(draw) * u128::from(total)) >> u64::BITS;
        for target in &self.targets {
            let weight = u128::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}
