//! Answers statements.

use std::sync::Arc;

use rattanarch_config::Command;
use rattanarch_config::CommandError;
use rattanarch_config::CommandRequest;
use rattanarch_config::Coverage;
use rattanarch_config::InstanceLocation;
use rattanarch_config::Operator;
use rattanarch_config::OperatorRequest;
use rattanarch_config::OperatorResponse;
use rattanarch_config::Query;
use rattanarch_config::Subject;
use rattanarch_language::Action;
use rattanarch_language::Statement;
use rattanarch_language::parse;
use rattanarch_platform::Platform;
use rattanarch_types::ConfigObject;
use rattanarch_types::FirmName;
use rattanarch_types::Record;
use rattanarch_types::Version;

use crate::operator::Fleet;
use crate::operator::Status;
use crate::operator::coverage::known_coverage;
use crate::operator::dry_run::effects;
use crate::operator::dry_run::places;
use crate::operator::firms::Firms;
use crate::operator::known::Look;
use crate::operator::names::owner_of;
use crate::operator::queries::Queries;
use crate::operator::write_id::random_write_id;
use crate::operator::writer::WriteError;
use crate::operator::writer::Written;
use crate::operator::writer::write;
use crate::process::Clock;
use crate::process::ProcessSettings;
use crate::process::unix_ms;
use crate::version::Views;

/// Answers queries and carries commands out, for operators whose names are proved.
pub struct OperatorApi {
    process: ProcessSettings,
    views: Views,
    firms: Firms,
    fleet: Arc<dyn Fleet>,
}

impl OperatorApi {
    /// The desk of the daemon that `process` describes.
    pub fn new(
        process: ProcessSettings,
        views: Views,
        platform: Platform,
        fleet: Arc<dyn Fleet>,
    ) -> Self {
        let firms = Firms::new(platform, views.clone());
        Self { process, views, firms, fleet }
    }

    /// The daemon's state now.
    pub fn status(&self) -> Status {
        Status::new(&self.process, &self.views.current(), &*self.fleet, Clock.now())
    }

    /// Answers one statement of `operator`.
    pub fn execute(&self, operator: &Operator, request: &OperatorRequest) -> OperatorResponse {
        let statement = match parse(&request.statement) {
            Ok(statement) => statement,
            Err(error) => {
                let (column, nearest) = (error.column, error.nearest.clone());
                return OperatorResponse::Malformed { reason: error.to_string(), column, nearest };
            }
        };
        let firm = self.firm_of(operator, &statement);
        if !operator.may_act(&firm) {
            return foreign(operator, &firm, &statement.action);
        }
        match statement.action {
            Action::Show(query) => self.queries().show(&firm, &query),
            Action::Change { command, expected, confirmed } => {
                let seen = request.seen.as_ref().filter(|seen| seen.firm == firm);
                let order = CommandRequest::new(operator.clone(), command)
                    .with_expected(expected.or(request.expected))
                    .with_seen(seen.map(|seen| seen.version))
                    .with_confirmed(confirmed || request.confirmed)
                    .with_time_ms(unix_ms())
                    .with_write_id(request.write_id.unwrap_or_else(random_write_id));
                self.change(&firm, order, request.write_id.is_some())
            }
            Action::DryRun(command) => {
                let order =
                    CommandRequest::new(operator.clone(), command).with_expected(request.expected);
                self.dry_run(&firm, order)
            }
            Action::Wait { condition, .. } => self.queries().check(&firm, &condition),
        }
    }

    fn queries(&self) -> Queries<'_> {
        Queries { firms: &self.firms, fleet: &*self.fleet, views: &self.views }
    }

    /// Firm that a statement is about: the named one, the operator's own, that of the named
    /// object, or the daemon's.
    fn firm_of(&self, operator: &Operator, statement: &Statement) -> FirmName {
        if let Some(firm) = statement.firm.as_ref().or(operator.firm.as_ref()) {
            return firm.clone();
        }
        let object = match &statement.action {
            Action::Change { command, .. } | Action::DryRun(command) => Some(command.object()),
            Action::Show(Query { subject: Subject::Key { service, .. }, .. }) => {
                Some(ConfigObject::Service(service.clone()))
            }
            _ => None,
        };
        let owner = object.and_then(|object| owner_of(self.firms.platform(), &object).ok()?);
        owner.unwrap_or_else(|| self.process.firm.clone())
    }

    fn change(&self, firm: &str, order: CommandRequest, repeated: bool) -> OperatorResponse {
        let places = places(&borrowed(&self.records_for(firm, &order.command)));
        let (write_id, command) = (order.write_id, order.command.clone());
        let operator = order.operator.name.clone();
        let written = write(&self.firms, firm, order, repeated, &places);
        log::info!(operator = operator.as_str(), firm, outcome:? = written; "{command}");
        if matches!(written, Written::Accepted(_))
            && let Some(configuration) = self.firms.known_configuration(firm)
        {
            self.fleet.offer_configuration(&configuration);
        }
        match written {
            Written::Accepted(version) => OperatorResponse::Accepted {
                firm: firm.to_owned(),
                version,
                write_id,
                coverage: self.known_coverage(firm, version),
                notes: notes_on(&command, &places),
            },
            Written::AlreadySo(version) => OperatorResponse::AlreadySo {
                firm: firm.to_owned(),
                version,
                coverage: self.known_coverage(firm, version),
            },
            Written::NotAccepted(error) => self.not_accepted(firm, error),
            Written::Unknown(reason) => OperatorResponse::Unknown { write_id, reason },
        }
    }

    /// Records that show which instances a command could leave a service without; only commands
    /// that take something out need them.
    fn records_for(&self, firm: &str, command: &Command) -> Vec<Look<Record>> {
        let takes_out =
            matches!(command, Command::SetDataCentre { .. } | Command::SetInstance { .. });
        if !takes_out {
            return Vec::new();
        }
        self.firms.look_records(&self.firms.look_configuration(firm))
    }

    fn not_accepted(&self, firm: &str, error: WriteError) -> OperatorResponse {
        let WriteError::Command(error) = error else {
            return OperatorResponse::NotAccepted {
                reason: error.to_string(),
                winner: None,
                risk: false,
            };
        };
        let winner = error.winner().cloned().map(Box::new);
        let reason = self.foreign_owner(firm, &error).unwrap_or_else(|| error.to_string());
        OperatorResponse::NotAccepted { reason, winner, risk: error.needs_confirmation() }
    }

    /// Says which other firm has what is missing here.
    fn foreign_owner(&self, firm: &str, error: &CommandError) -> Option<String> {
        let CommandError::NotFound { object, .. } = error else { return None };
        let owner = owner_of(self.firms.platform(), object).ok()??;
        (owner != firm).then(|| format!("{object} belongs to firm {owner:?}, not to {firm:?}"))
    }

    fn dry_run(&self, firm: &str, order: CommandRequest) -> OperatorResponse {
        let look = self.firms.look_configuration(firm);
        let records = self.firms.look_records(&look);
        match effects(&look.value, order, &borrowed(&records)) {
            Ok(mut effects) => {
                effects.extend(look.fault.map(|fault| format!("tried on what is known: {fault}")));
                OperatorResponse::DryRun { firm: firm.to_owned(), version: look.version, effects }
            }
            Err(error) => self.not_accepted(firm, error.into()),
        }
    }

    fn known_coverage(&self, firm: &str, version: Version) -> Coverage {
        let configuration = self.firms.known_configuration(firm).unwrap_or_default();
        known_coverage(&self.views.current(), &*self.fleet, &configuration, version)
    }
}

/// Warnings about a command that is accepted.
fn notes_on(command: &Command, places: &[InstanceLocation]) -> Vec<String> {
    let Command::SetInstance { service, instance, .. } = command else { return Vec::new() };
    let mut of_service = places.iter().filter(|place| place.service == *service);
    if of_service.any(|place| place.instance == *instance) {
        return Vec::new();
    }
    vec![format!("no instance {instance:?} is known in service {service:?}")]
}

fn borrowed(looks: &[Look<Record>]) -> Vec<&Record> {
    looks.iter().map(|look| &*look.value).collect()
}

/// Refuses a statement about a firm that the operator may not act for.
fn foreign(operator: &Operator, firm: &str, action: &Action) -> OperatorResponse {
    let error = CommandError::OtherFirm { operator: operator.name.clone(), firm: firm.to_owned() };
    let reason = error.to_string();
    match action {
        Action::Show(_) | Action::Wait { .. } => OperatorResponse::Failed { reason },
        Action::Change { .. } | Action::DryRun(_) => {
            OperatorResponse::NotAccepted { reason, winner: None, risk: false }
        }
    }
}
