//! Log lines in JSON.

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
use crate::budget::Budget;
use crate::line::line;
use crate::writer::LineWriter;

/// Lines that were not written: over their event's budget, or not taken by the reader in time.
pub(crate) static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that were not written since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Target of lines that [`may_log`] has granted; they count against no budget again.
pub const PREAPPROVED_TARGET: &str = "rattanarch::granted";

/// Budgets of events. In one place for the process, as its logger is.
static BUDGET: LazyLock<Mutex<Budget>> = LazyLock::new(Mutex::default);

/// Whether all `lines` of something that ends in `event` may be written, with the target [`PREAPPROVED_TARGET`].
/// Those that may not are counted as dropped.
///
/// `whole`: whether it belongs to a sample that every process draws alike. That has a budget of its own,
/// so that all its lines are written while others are dropped.
pub fn may_log(event: (&str, bool), level: Level, lines: u64) -> bool {
    if level > log::max_level() {
        return false;
    }
    let mut budget = BUDGET.lock().unwrap_or_else(PoisonError::into_inner);
    let granted = budget.take(Clock.now(), event, level);
    if !granted {
        DROPPED.fetch_add(lines, Ordering::Relaxed);
    }
    granted
}

/// How to log.
pub struct LogOptions {
    /// Least level that is written.
    pub level: LevelFilter,
    /// Fields that every line has.
    pub common: Vec<(&'static str, String)>,
    /// Where lines go; standard output as a rule.
    pub out: Box<dyn io::Write + Send>,
}

/// Why logging can't be started.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The thread that writes lines can't be started.
    #[error("the log's thread cannot be started: {0}")]
    Thread(#[from] io::Error),
    /// Logging was started before.
    #[error("logging was started before: {0}")]
    AlreadyStarted(#[from] SetLoggerError),
}

/// Starts logging; called once by a binary.
///
/// Each line is one JSON object: `time` (milliseconds since 1970), `level`, `event`, the common
/// fields and the event's own.
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
            out.finish(format_args!("{}", line(&common, message, record)));
        })
        .chain(out)
        .into_log();
    log::set_boxed_logger(Box::new(Limited { inner }))?;
    log::set_max_level(level);
    Ok(())
}

/// Keeps each event within its budget.
struct Limited {
    inner: Box<dyn Log>,
}

impl Log for Limited {
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
