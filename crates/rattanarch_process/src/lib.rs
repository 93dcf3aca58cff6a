//! Clock, structured logs and metrics that all processes of rattanarch share.
//!
//! - [`Clock`] includes the time in which the machine was suspended.
//! - [`start_logs`] writes one JSON object per line. The lines of each event are limited to a rate, and logging
//!   never blocks on a slow reader: lines that exceed the rate or find the queue full are dropped and
//!   counted in [`dropped_lines`].
//! - [`Metrics`] holds counters, gauges and histograms, which are served as text.

mod clock;
mod line;
mod line_limiter;
mod logs;
mod metrics;
mod random;
mod writer;

pub use clock::Clock;
pub use clock::unix_ms;
pub use logs::LogError;
pub use logs::LogOptions;
pub use logs::PREAPPROVED_TARGET;
pub use logs::dropped_lines;
pub use logs::may_log;
pub use logs::start_logs;
pub use metrics::Labels;
pub use metrics::Metrics;
pub use random::random;
pub use random::random_fraction;
pub use random::random_index;
pub use writer::flush_logs;
