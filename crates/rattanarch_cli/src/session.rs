//! Statements in a row.

use rattanarch_config::OperatorRequest;
use rattanarch_config::OperatorResponse;
use rattanarch_config::SeenVersion;
use rattanarch_language::Action;
use rattanarch_language::Condition;
use rattanarch_language::Statement;
use rattanarchd::operator::random_write_id;

use crate::client::CallError;
use crate::client::Client;
use crate::wait::wait;

/// Says statements to daemons, and remembers what they told.
pub(crate) struct Session {
    client: Client,
    /// Whether commands are refused when their object changed since the last answer: a person
    /// decides on what was shown last.
    watches: bool,
    seen: Option<SeenVersion>,
    accepted: Option<SeenVersion>,
}

/// A statement that no daemon answered.
#[derive(Debug)]
pub(crate) struct Unanswered {
    /// Why.
    pub error: CallError,
    /// Write id of the command; `None` for queries.
    pub write_id: Option<u64>,
}

impl Session {
    /// A session that sends statements to `client`.
    pub(crate) fn new(client: Client, watches: bool) -> Self {
        Self { client, watches, seen: None, accepted: None }
    }

    /// Says one statement; a command under `write_id`, or a new one.
    pub(crate) fn say(
        &mut self,
        statement: Statement,
        write_id: Option<u64>,
    ) -> Result<OperatorResponse, Unanswered> {
        let statement = self.bound(statement);
        let is_command = matches!(statement.action, Action::Change { .. });
        let write_id = is_command.then(|| write_id.unwrap_or_else(random_write_id));
        let seen = if self.watches { self.seen.clone() } else { None };
        let request = OperatorRequest {
            statement: statement.to_string(),
            seen,
            write_id,
            ..OperatorRequest::default()
        };
        let outcome = match &statement.action {
            Action::Wait { within, .. } => wait(&self.client, &request, *within),
            _ => self.client.ask(&request),
        };
        let answer = outcome.map_err(|error| Unanswered { error, write_id })?;
        self.note(&answer);
        Ok(answer)
    }

    /// Names the version in `wait until in force`, if this session had one accepted: the newest
    /// that the daemon knows may be another's.
    fn bound(&self, mut statement: Statement) -> Statement {
        if let Action::Wait { condition: condition @ Condition::InForce(None), .. } =
            &mut statement.action
            && let Some(accepted) = &self.accepted
        {
            *condition = Condition::InForce(Some(accepted.version));
            statement.firm.get_or_insert_with(|| accepted.firm.clone());
        }
        statement
    }

    fn note(&mut self, answer: &OperatorResponse) {
        let (firm, version) = match answer {
            OperatorResponse::Table { firm, version, .. }
            | OperatorResponse::DryRun { firm, version, .. }
            | OperatorResponse::AlreadySo { firm, version, .. }
            | OperatorResponse::Accepted { firm, version, .. } => (firm.clone(), *version),
            _ => return,
        };
        let seen = SeenVersion { firm, version };
        if matches!(answer, OperatorResponse::Accepted { .. } | OperatorResponse::AlreadySo { .. })
        {
            self.accepted = Some(seen.clone());
        }
        self.seen = Some(seen);
    }
}
