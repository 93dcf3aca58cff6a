//! What every process of rattanarch has: a clock, structured logs and metrics.
//!
//! - [`Clock`] counts the time in which the machine was suspended.
//! - [`start_logs`] writes one JSON object a line. Each event has a budget of lines a second, and a
//!   reader that stops reading costs lines, never time: [`dropped_lines`] counts them.
//! - [`Metrics`] holds the counters and histograms that are served as text.

mod budget;
mod clock;
mod line;
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
