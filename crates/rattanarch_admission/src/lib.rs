//! Pure request policy: how much work an upstream gets, which work first, and what is tried again.
//!
//! Nothing here does I/O, reads a clock or draws a random number: times ([`Moment`]) and draws are
//! arguments, so that the same code runs in the daemon, in tests and in experiments
//! (`cargo run --release --example policies`).
//!
//! On the way to one upstream, a [`Limiter`] says how many requests may run at once, with a
//! [`ColdStart`] inside it for an upstream that starts or collapses. What may not run yet waits in a
//! [`Queue`], which sheds at once what would come too late. Among many upstreams a [`Selector`]
//! picks one. [`RetryBudget`] and [`HedgeBudget`] bound what is sent twice, and an
//! [`IdempotencyMemory`] gives a repeated request its first answer.
//!
//! ```
//! use std::time::Duration;
//! use rattanarch_admission::{Ending, Limiter, Pace, Queue};
//! use rattanarch_types::Priority;
//!
//! let mut limiter = Limiter::new(20);
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
//! limiter.note(now, Ending::Answered(Duration::from_millis(4)), running);
//! queue.set_pace(Pace { limit: limiter.limit(), mean: limiter.mean() });
//! assert_eq!(queue.pop(now).next, Some(2));
//! ```
//!
//! [`Moment`]: rattanarch_types::Moment

mod cold_pace;
mod cold_start;
mod ending;
mod gate;
mod head_limit;
mod hedge_budget;
mod idempotency_memory;
mod limiter;
mod queue;
mod report;
mod retry_budget;
mod selector;
mod slice_meter;
mod tokens;
mod uplink;

pub use cold_pace::ColdPace;
pub use cold_start::ColdStart;
pub use ending::Ending;
pub use gate::Gate;
pub use gate::Offered;
pub use gate::Wish;
pub use head_limit::HeadLimit;
pub use hedge_budget::HedgeBudget;
pub use idempotency_memory::Finish;
pub use idempotency_memory::IdempotencyEntry;
pub use idempotency_memory::IdempotencyMemory;
pub use idempotency_memory::Seen;
pub use limiter::Limiter;
pub use queue::Pace;
pub use queue::Popped;
pub use queue::Queue;
pub use queue::Shed;
pub use report::Report;
pub use retry_budget::RetryBudget;
pub use selector::Selector;
pub use selector::UpstreamKey;
pub use slice_meter::SliceMeter;
pub use uplink::Uplink;
