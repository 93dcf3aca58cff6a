//! One route.

use std::time::Duration;

use rattanarch_types::Rank;
use rattanarch_types::ServiceName;

/// What may be sent to an upstream more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// Idempotent: any request may be repeated.
    Idempotent,
    /// Idempotent, with large answers.
    Download,
    /// Runs at most once.
    AtMostOnce,
}

impl RetryPolicy {
    /// Whether a request that may have run may be sent again.
    pub fn is_idempotent(self) -> bool {
        self != Self::AtMostOnce
    }
}

/// One part of a split.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Service that gets this part.
    pub service: ServiceName,
    /// Share of the requests, relative to the other parts.
    pub weight: u32,
}

/// A route: which requests it takes, where they go and what they may cost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rule {
    /// Name that operators gave it.
    pub name: String,
    /// Host that it belongs to, in lower case and without a port.
    pub host: String,
    /// Start of the paths that it takes; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Services that share its requests; never empty.
    pub targets: Vec<Target>,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth the most.
    pub target_latency: Duration,
    /// Most upstreams that one request may be sent to; at least 1.
    pub attempts: u32,
    /// Urgency.
    pub rank: Rank,
}

impl Rule {
    /// The service for one request; `draw` is a random number.
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
