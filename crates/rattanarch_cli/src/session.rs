//! Session of consecutive statements.

use rattanarch_config::OperatorRequest;
use rattanarch_config::OperatorResponse;
use rattanarch_config::SeenVersion;
use rattanarch_language::Action;
use rattanarch_language::Condition;
use rattanarch_language::Statement;
use rattanarchd::operator::random_write_id;

use crate::client::CallError;
use crate::client::Client;
use crate::wait::wait_for_condition;

/// Sends statements to daemons and keeps the versions in their responses for later statements.
pub(crate) struct Session {
    client: Client,
    /// Whether a command is refused if its object has changed since the last response. An interactive
    /// operator decides by what was shown last.
    checks_version: bool,
    /// Version in the last response that had one.
    seen: Option<SeenVersion>,
    /// Version of the last command that was accepted or already in effect.
    accepted: Option<SeenVersion>,
}

/// Failure of a statement, with the write id that a repeat of the command needs.
#[derive(Debug)]
pub(crate) struct StatementError {
    /// Failure of the call.
    pub error: CallError,
    /// Write id of the command; `None` for queries.
    pub write_id: Option<u64>,
}

impl Session {
    /// Creates a session that sends statements through `client`. With `checks_version`, daemons refuse a command if its
    /// object has changed since the last response.
    pub(crate) fn new(client: Client, checks_version: bool) -> Self {
        Self { client, checks_version, seen: None, accepted: None }
    }

    /// Runs one statement. A command gets `write_id`, or a random write id if that is `None`.
    ///
    /// # Errors
    /// If no daemon responded, or one refused the request.
    pub(crate) fn run(
        &mut self,
        statement: Statement,
        write_id: Option<u64>,
    ) -> Result<OperatorResponse, StatementError> {
        let statement = self.name_version(statement);
        let is_command = matches!(statement.action, Action::Change { .. });
        let write_id = is_command.then(|| write_id.unwrap_or_else(random_write_id));
        let seen = if self.checks_version { self.seen.clone() } else { None };
        let request = OperatorRequest {
            statement: statement.to_string(),
            seen,
            write_id,
            ..OperatorRequest::default()
        };
        let outcome = match &statement.action {
            Action::Wait { within, .. } => wait_for_condition(&self.client, &request, *within),
            _ => self.client.send(&request),
        };
        let response = outcome.map_err(|error| StatementError { error, write_id })?;
        self.record_version(&response);
        Ok(response)
    }

    /// Adds the version of the session's last accepted command to `wait until in force`. The newest version that the
    /// daemon knows may come from another operator's command.
    fn name_version(&self, mut statement: Statement) -> Statement {
        if let Action::Wait { condition: condition @ Condition::InForce(None), .. } =
            &mut statement.action
            && let Some(accepted) = &self.accepted
        {
            *condition = Condition::InForce(Some(accepted.version));
            statement.firm.get_or_insert_with(|| accepted.firm.clone());
        }
        statement
    }

    fn record_version(&mut self, response: &OperatorResponse) {
        let (firm, version) = match response {
            OperatorResponse::Table { firm, version, .. }
            | OperatorResponse::DryRun { firm, version, .. }
            | OperatorResponse::AlreadySo { firm, version, .. }
            | OperatorResponse::Accepted { firm, version, .. } => (firm.clone(), *version),
            _ => return,
        };
        let seen = SeenVersion { firm, version };
        if matches!(
            response,
            OperatorResponse::Accepted { .. } | OperatorResponse::AlreadySo { .. }
        ) {
            self.accepted = Some(seen.clone());
        }
        self.seen = Some(seen);
    }
}
