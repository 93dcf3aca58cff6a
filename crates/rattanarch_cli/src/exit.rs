//! Exit statuses.

use std::process::ExitCode;

/// How the program ends; the number is its exit status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// Answered, accepted, already so, or the condition was met.
    Done = 0,
    /// A command was not accepted, or a query could not be answered.
    Refused = 1,
    /// The command line, a statement, the token or checked settings are wrong.
    Usage = 2,
    /// A command may have been accepted, or may still be.
    Unknown = 3,
    /// A condition was not met in its time.
    TimedOut = 4,
    /// No daemon could be reached; nothing was sent.
    Unreachable = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
