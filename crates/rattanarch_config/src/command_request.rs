//! A command with what makes it safe to race and to repeat.

use rattanarch_types::Version;
use rattanarch_types::WriteId;

use crate::Command;
use crate::Operator;

/// A command as one operator gives it at one time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommandRequest {
    /// Who gives it.
    pub operator: Operator,
    /// What to change.
    pub command: Command,
    /// Configuration version that it is for; any other is refused.
    pub expected: Option<Version>,
    /// Configuration version that the operator saw: a later change of the same object is refused.
    pub seen: Option<Version>,
    /// Whether a risk was accepted by saying the command twice.
    pub confirmed: bool,
    /// Wall clock, in ms since the Unix epoch.
    pub time_ms: u64,
    /// Unique to this order; the same when its answer was lost and it is repeated.
    pub write_id: WriteId,
}

impl CommandRequest {
    /// An order without conditions.
    pub fn new(operator: Operator, command: Command) -> Self {
        Self {
            operator,
            command,
            expected: None,
            seen: None,
            confirmed: false,
            time_ms: 0,
            write_id: 0,
        }
    }

    /// Sets the only configuration version that it is for.
    pub fn with_expected(mut self, expected: Option<Version>) -> Self {
        self.expected = expected;
        self
    }

    /// Sets the configuration version that the operator saw.
    pub fn with_seen(mut self, seen: Option<Version>) -> Self {
        self.seen = seen;
        self
    }

    /// Sets whether its risk was accepted.
    pub fn with_confirmed(mut self, confirmed: bool) -> Self {
        self.confirmed = confirmed;
        self
    }

    /// Sets the wall clock's time.
    pub fn with_time_ms(mut self, time_ms: u64) -> Self {
        self.time_ms = time_ms;
        self
    }

    /// Sets the write id.
    pub fn with_write_id(mut self, write_id: WriteId) -> Self {
        self.write_id = write_id;
        self
    }
}
