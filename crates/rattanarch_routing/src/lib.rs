//! Pure routing decisions: which route a request takes, which service and which instance serve it.
//!
//! Nothing here does I/O, reads a clock or draws a random number. A [`RouteTable`] holds the routes of one
//! version of the configuration; [`choose_instance`] picks an instance of a service without keys;
//! [`RetryShare`] limits the retries of one daemon; [`ProbeTracker`] decides when to probe a silent peer.
//!
//! ```
//! use std::time::Duration;
//! use rattanarch_routing::{Limits, RetryPolicy, RouteTable, Rule, Target};
//!
//! let rule = Rule {
//!     name: "stock".to_owned(),
//!     host: "pound.example".to_owned(),
//!     prefix: "/stock/".to_owned(),
//!     retry_policy: RetryPolicy::Idempotent,
//!     targets: vec![Target { service: "trade-desk".to_owned(), weight: 1 }],
//!     timeout: Duration::from_millis(1_200),
//!     target_latency: Duration::from_millis(500),
//!     attempts: 2,
//!     rank: 2,
//!     no_auth: false,
//! };
//! let table = RouteTable::new(7, vec![rule], [], Limits::default());
//! assert_eq!(table.find("pound.example", "/stock/crayfish").map(|rule| rule.rank), Some(2));
//! assert!(table.find("pound.example", "/stocks").is_none());
//! ```

mod candidate;
mod choice;
mod limits;
mod prefix_tree;
mod probe_tracker;
mod retry_share;
mod rule;
mod service;
mod table;

pub use candidate::Candidate;
pub use choice::ResponseSize;
pub use choice::choose_instance;
pub use limits::Limits;
pub use probe_tracker::ProbeResult;
pub use probe_tracker::ProbeTracker;
pub use retry_share::RetryKind;
pub use retry_share::RetryLimits;
pub use retry_share::RetryShare;
pub use rule::RetryPolicy;
pub use rule::Rule;
pub use rule::Target;
pub use service::ServiceSpec;
pub use table::RouteTable;
