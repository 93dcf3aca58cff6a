//! A command with the version conditions and the write id that make it safe to repeat and under races.

use rattanarch_types::Version;
use rattanarch_types::WriteId;

use crate::Command;
use crate::Operator;

/// A command that an operator submits once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommandRequest {
    /// Who submits it.
    pub operator: Operator,
    /// What to change.
    pub command: Command,
    /// Required configuration version; at any other the request is refused.
    pub expected: Option<Version>,
    /// Configuration version that the operator saw: the request is refused if the same object has changed since.
    pub seen: Option<Version>,
    /// Whether the operator accepts the risk of the command, by the word `twice`.
    pub confirmed: bool,
    /// Wall-clock time of the request, in ms since the Unix epoch.
    pub time_ms: u64,
    /// Unique to this request; the same when it is repeated after its response was lost.
    pub write_id: WriteId,
}

impl CommandRequest {
    /// A request without conditions.
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

    /// Sets the required configuration version.
    pub fn with_expected(mut self, expected: Option<Version>) -> Self {
        self.expected = expected;
        self
    }

    /// Sets the configuration version that the operator saw.
    pub fn with_seen(mut self, seen: Option<Version>) -> Self {
        self.seen = seen;
        self
    }

    /// Sets whether the operator accepts the risk.
    pub fn with_confirmed(mut self, confirmed: bool) -> Self {
        self.confirmed = confirmed;
        self
    }

    /// Sets the wall-clock time, in ms since the Unix epoch.
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
