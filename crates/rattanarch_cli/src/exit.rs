//! Exit statuses of the program.

use std::process::ExitCode;

/// Result of the program; its number is the exit status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// A query was answered, a request was explained, a command was accepted or had nothing to change, a dry run ended, a condition was met, or
    /// the checked settings are valid.
    Done = 0,
    /// A command was not accepted, or a query could not be answered.
    Refused = 1,
    /// The command line, a statement, the token or the checked settings are invalid.
    Usage = 2,
    /// The outcome of a command is unknown: it may have been accepted, or may still be.
    Unknown = 3,
    /// A condition was not met within its time limit.
    TimedOut = 4,
    /// No daemon could be reached, so nothing was sent.
    Unreachable = 5,
    /// The daemon does not explain requests: its version is older.
    Unsupported = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
