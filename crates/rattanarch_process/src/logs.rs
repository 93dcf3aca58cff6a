//! Rate-limited logging in JSON lines.

use std::io;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use log::Level;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use log::SetLoggerError;

use crate::Clock;
use crate::line::format_line;
use crate::line_limiter::LineLimiter;
use crate::writer::LineWriter;

/// Lines that were not written, because of their event's rate limit or a full queue.
pub(crate) static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines that were dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Target of lines that [`may_log`] has allowed; they don't count towards the rate limit again.
pub const PREAPPROVED_TARGET: &str = "rattanarch::granted";

/// Rate limits of all events; global, as is the logger of a process.
static LIMITER: LazyLock<Mutex<LineLimiter>> = LazyLock::new(Mutex::default);

/// Whether a group of `lines`, the last of which is of `event`, may be written with the target
/// [`PREAPPROVED_TARGET`]. Only the `event` counts towards the rate limit. If the group may not be written, its
/// lines are counted as dropped.
///
/// An event is given by its name and whether it belongs to a sampled request. All processes sample the same
/// requests. Sampled requests have a rate limit of their own, so that all their lines are written while others
/// are dropped.
pub fn may_log(event: (&str, bool), level: Level, lines: u64) -> bool {
    if level > log::max_level() {
        return false;
    }
    let mut limiter = LIMITER.lock().unwrap_or_else(PoisonError::into_inner);
    let allowed = limiter.allow(Clock.now(), event, level);
    if !allowed {
        DROPPED_LINES.fetch_add(lines, Ordering::Relaxed);
    }
    allowed
}

/// Options of [`start_logs`].
pub struct LogOptions {
    /// Lowest severity that is written.
    pub level: LevelFilter,
    /// Fields that every line has.
    pub common: Vec<(&'static str, String)>,
    /// Where lines are written; normally standard output.
    pub out: Box<dyn io::Write + Send>,
}

/// Why logging can't be started.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The writer thread can't be started.
    #[error("the log's thread cannot be started: {0}")]
    Thread(#[from] io::Error),
    /// Logging was started before.
    #[error("logging was started before: {0}")]
    AlreadyStarted(#[from] SetLoggerError),
}

/// Starts logging; may be called once in a process.
///
/// Each line is one JSON object: `time` (milliseconds since the Unix epoch), `level`, `event`, the common fields
/// and the fields of the line.
///
/// # Errors
/// See [`LogError`].
pub fn start_logs(options: LogOptions) -> Result<(), LogError> {
    let out: Box<dyn io::Write + Send> = Box::new(LineWriter::start(options.out)?);
    let common = options.common;
    let (level, inner) = fern::Dispatch::new()
        .level(options.level)
        .level_for("rouille", LevelFilter::Off)
        .level_for("tungstenite", LevelFilter::Warn)
        .level_for("hyper", LevelFilter::Warn)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", format_line(&common, message, record)));
        })
        .chain(out)
        .into_log();
    log::set_boxed_logger(Box::new(RateLimitedLog { inner }))?;
    log::set_max_level(level);
    Ok(())
}

/// Applies the rate limits of events.
struct RateLimitedLog {
    inner: Box<dyn Log>,
}

impl Log for RateLimitedLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        let event = record.args().as_str().unwrap_or_else(|| record.target());
        if record.target() == PREAPPROVED_TARGET || may_log((event, false), record.level(), 1) {
            self.inner.log(record);
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}
