//! Request policy without I/O: how many requests an upstream gets, in which order, and which are retried.
//!
//! Nothing here does I/O, reads a clock or generates random numbers: times ([`Moment`]) and random
//! numbers are arguments, so that the same code runs in the daemon, in tests and in experiments
//! (`cargo run --release --example policies`).
//!
//! For one upstream, a [`ConcurrencyLimiter`] sets how many requests may run at once, with a
//! [`ColdStart`] inside for an upstream that starts or collapses. Requests that may not run yet wait
//! in a [`Queue`], which sheds those that would miss their deadlines. Among several upstreams a
//! [`Selector`] chooses one. [`RetryBudget`] and [`HedgeBudget`] limit retries and hedges, and an
//! [`IdempotencyCache`] gives a repeated request the response to the first one.
//!
//! In the daemon next to an upstream, an [`AdmissionController`] combines a queue, the upstream's
//! slots, a [`RateLimiter`] and an [`UpstreamPace`], which limits an upstream that is cold or recovers. The queue orders by
//! flow with [`FlowShares`], and a [`RetrySchedule`] tells refused callers when to return.
//!
//! What callers make a process hold is bounded by a [`ByteBudget`] with the shares of a [`CapacityPlan`];
//! a [`ProgressMeter`] finds bodies that stand still, and [`BytesUnderWay`] bounds what the upstream holds.
//!
//! ```
//! use std::time::Duration;
//! use rattanarch_admission::{AttemptOutcome, ConcurrencyLimiter, Queue, Throughput};
//! use rattanarch_types::Priority;
//!
//! let mut limiter = ConcurrencyLimiter::new(20);
//! let mut queue = Queue::new(40);
//! let now = Duration::from_secs(5);
//! let mut running = 0;
//! for request in 0..3 {
//!     if running < limiter.limit() {
//!         running += 1;
//!     } else {
//!         let shed = queue.push(now, Priority::Normal, now + Duration::from_secs(1), request);
//!         assert!(shed.is_empty());
//!     }
//! }
//! limiter.observe(now, AttemptOutcome::Responded(Duration::from_millis(4)), running);
//! let service_time = limiter.mean_service_time();
//! queue.set_throughput(Throughput { concurrency: limiter.limit(), service_time });
//! assert_eq!(queue.pop(now).next, Some(2));
//! ```
//!
//! [`Moment`]: rattanarch_types::Moment

mod admission_controller;
mod attempt_outcome;
mod byte_budget;
mod bytes_under_way;
mod capacity_plan;
mod cold_start;
mod concurrency_limiter;
mod flow_shares;
mod head_limit;
mod hedge_budget;
mod idempotency_cache;
mod load_report;
mod longest_idle;
mod progress_meter;
mod queue;
mod rate_limiter;
mod rate_meter;
mod retry_budget;
mod retry_schedule;
mod selector;
mod slice_meter;
mod token_bucket;
mod uplink_backlog;
mod upstream_pace;
mod work_times;

pub use admission_controller::AdmissionController;
pub use admission_controller::OfferResult;
pub use admission_controller::PendingRequest;
pub use attempt_outcome::AttemptOutcome;
pub use byte_budget::ByteBudget;
pub use byte_budget::FIRST_BYTES;
pub use byte_budget::HolderKey;
pub use byte_budget::Reservation;
pub use bytes_under_way::BytesTicket;
pub use bytes_under_way::BytesUnderWay;
pub use capacity_plan::CapacityPlan;
pub use cold_start::ColdStart;
pub use concurrency_limiter::ConcurrencyLimiter;
pub use flow_shares::FlowShares;
pub use head_limit::HeadLimit;
pub use hedge_budget::HedgeBudget;
pub use idempotency_cache::Completion;
pub use idempotency_cache::IdempotencyCache;
pub use idempotency_cache::IdempotencyEntry;
pub use idempotency_cache::Lookup;
pub use load_report::LoadReport;
pub use longest_idle::longest_idle;
pub use progress_meter::PROGRESS_TIME;
pub use progress_meter::ProgressMeter;
pub use queue::PopResult;
pub use queue::Queue;
pub use queue::ShedRequest;
pub use queue::Throughput;
pub use rate_limiter::RateLimiter;
use rate_meter::RateMeter;
pub use retry_budget::RetryBudget;
pub use retry_schedule::RetryDemand;
pub use retry_schedule::RetrySchedule;
pub use selector::Selector;
pub use selector::UpstreamKey;
pub use slice_meter::SliceMeter;
pub use uplink_backlog::UplinkBacklog;
pub use upstream_pace::PaceCause;
pub use upstream_pace::PaceChange;
pub use upstream_pace::PaceForecast;
pub use upstream_pace::PaceState;
pub use upstream_pace::UpstreamPace;
pub use work_times::WorkClass;
pub use work_times::WorkTimes;
