//! Executes operators' statements: queries, commands, dry runs and waits.

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
use rattanarch_types::Explanation;
use rattanarch_types::FirmName;
use rattanarch_types::Record;
use rattanarch_types::Version;

use crate::operator::Fleet;
use crate::operator::Status;
use crate::operator::command_writer::WriteError;
use crate::operator::command_writer::WriteOutcome;
use crate::operator::command_writer::write;
use crate::operator::coverage::reported_coverage;
use crate::operator::dry_run::known_instances;
use crate::operator::dry_run::list_effects;
use crate::operator::name_claims::claiming_firm;
use crate::operator::object_cache::ObservedObject;
use crate::operator::object_reader::ObjectReader;
use crate::operator::query_executor::QueryExecutor;
use crate::operator::write_id::random_write_id;
use crate::process::Clock;
use crate::process::ProcessSettings;
use crate::process::unix_ms;
use crate::request::RequestHandler;
use crate::version::Views;

/// Executes statements of authenticated operators.
pub struct OperatorApi {
    process_settings: ProcessSettings,
    views: Views,
    reader: ObjectReader,
    fleet: Arc<dyn Fleet>,
    /// Explains requests; `None` if nothing handles any.
    requests: Option<Arc<RequestHandler>>,
}

impl OperatorApi {
    /// Creates the API of the daemon with the settings `process_settings`.
    pub fn new(
        process_settings: ProcessSettings,
        views: Views,
        platform: Platform,
        fleet: Arc<dyn Fleet>,
    ) -> Self {
        let reader = ObjectReader::new(platform, views.clone());
        Self { process_settings, views, reader, fleet, requests: None }
    }

    /// Has `requests` explain where requests would be sent.
    pub fn with_requests(self, requests: Arc<RequestHandler>) -> Self {
        Self { requests: Some(requests), ..self }
    }

    /// Explains where the request that `query` describes would be sent now.
    ///
    /// # Errors
    /// HTTP status and reason, if `operator` may not act for the daemon's firm, `query` is malformed, or nothing handles
    /// requests.
    pub(crate) fn explain(
        &self,
        operator: &Operator,
        query: &str,
    ) -> Result<Explanation, (u16, String)> {
        if !operator.may_act(&self.process_settings.firm) {
            let firm = self.process_settings.firm.clone();
            let error = CommandError::OtherFirm { operator: operator.name.clone(), firm };
            return Err((403, error.to_string()));
        }
        let requests = self.requests.as_ref();
        let requests = requests.ok_or_else(|| (503, "no requests are handled".to_owned()))?;
        let explained = query.parse().and_then(|query| requests.explain(query));
        explained.map_err(|error| (400, error.to_string()))
    }

    /// Current status of the daemon.
    pub fn status(&self) -> Status {
        Status::new(&self.process_settings, &self.views.current(), &*self.fleet, Clock.now())
    }

    /// Executes one statement of `operator`.
    pub fn execute(&self, operator: &Operator, request: &OperatorRequest) -> OperatorResponse {
        let statement = match parse(&request.statement) {
            Ok(statement) => statement,
            Err(error) => {
                let (column, nearest) = (error.column, error.nearest.clone());
                return OperatorResponse::Malformed { reason: error.to_string(), column, nearest };
            }
        };
        let firm = self.resolve_firm(operator, &statement);
        if !operator.may_act(&firm) {
            return other_firm_response(operator, &firm, &statement.action);
        }
        match statement.action {
            Action::Show(query) => self.query_executor().show(&firm, &query),
            Action::Change { command, expected, confirmed } => {
                let seen = request.seen.as_ref().filter(|seen| seen.firm == firm);
                let command_request = CommandRequest::new(operator.clone(), command)
                    .with_expected(expected.or(request.expected))
                    .with_seen(seen.map(|seen| seen.version))
                    .with_confirmed(confirmed || request.confirmed)
                    .with_time_ms(unix_ms())
                    .with_write_id(request.write_id.unwrap_or_else(random_write_id));
                self.execute_command(&firm, command_request, request.write_id.is_some())
            }
            Action::DryRun(command) => {
                let command_request =
                    CommandRequest::new(operator.clone(), command).with_expected(request.expected);
                self.dry_run(&firm, command_request)
            }
            Action::Wait { condition, .. } => self.query_executor().check(&firm, &condition),
        }
    }

    fn query_executor(&self) -> QueryExecutor<'_> {
        QueryExecutor { reader: &self.reader, fleet: &*self.fleet, views: &self.views }
    }

    /// Firm that a statement refers to: the named firm, else the operator's, else the firm that
    /// has claimed the name of the object, else the daemon's.
    fn resolve_firm(&self, operator: &Operator, statement: &Statement) -> FirmName {
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
        let claimant =
            object.and_then(|object| claiming_firm(self.reader.platform(), &object).ok()?);
        claimant.unwrap_or_else(|| self.process_settings.firm.clone())
    }

    fn execute_command(
        &self,
        firm: &str,
        request: CommandRequest,
        may_be_repeat: bool,
    ) -> OperatorResponse {
        let instances = known_instances(&record_refs(&self.records_for(firm, &request.command)));
        let (write_id, command) = (request.write_id, request.command.clone());
        let operator = request.operator.name.clone();
        let outcome = write(&self.reader, firm, request, may_be_repeat, &instances);
        log::info!(operator = operator.as_str(), firm, outcome:? = outcome; "{command}");
        if matches!(outcome, WriteOutcome::Accepted(_))
            && let Some(configuration) = self.reader.cached_configuration(firm)
        {
            // Applied before the watch of the platform reports it.
            self.fleet.offer_configuration(&configuration);
        }
        match outcome {
            WriteOutcome::Accepted(version) => OperatorResponse::Accepted {
                firm: firm.to_owned(),
                version,
                write_id,
                coverage: self.coverage_of(firm, version),
                notes: list_warnings(&command, &instances),
            },
            WriteOutcome::AlreadySo(version) => OperatorResponse::AlreadySo {
                firm: firm.to_owned(),
                version,
                coverage: self.coverage_of(firm, version),
            },
            WriteOutcome::NotAccepted(error) => self.not_accepted_response(firm, error),
            WriteOutcome::Unknown(reason) => OperatorResponse::Unknown { write_id, reason },
        }
    }

    /// Records needed to check that a command leaves each service an instance; none for commands that take nothing out
    /// of service.
    fn records_for(&self, firm: &str, command: &Command) -> Vec<ObservedObject<Record>> {
        let may_take_out =
            matches!(command, Command::SetDataCentre { .. } | Command::SetInstance { .. });
        if !may_take_out {
            return Vec::new();
        }
        self.reader.observe_records(&self.reader.observe_configuration(firm))
    }

    fn not_accepted_response(&self, firm: &str, error: WriteError) -> OperatorResponse {
        let WriteError::Command(error) = error else {
            return OperatorResponse::NotAccepted {
                reason: error.to_string(),
                winner: None,
                risk: false,
            };
        };
        let winner = error.winner().cloned().map(Box::new);
        let reason = self.other_firm_reason(firm, &error).unwrap_or_else(|| error.to_string());
        OperatorResponse::NotAccepted { reason, winner, risk: error.needs_confirmation() }
    }

    /// Reason that names the firm which has the object that was not found; `None` if no other firm has it.
    fn other_firm_reason(&self, firm: &str, error: &CommandError) -> Option<String> {
        let CommandError::NotFound { object, .. } = error else { return None };
        let claimant = claiming_firm(self.reader.platform(), object).ok()??;
        (claimant != firm)
            .then(|| format!("{object} belongs to firm {claimant:?}, not to {firm:?}"))
    }

    fn dry_run(&self, firm: &str, request: CommandRequest) -> OperatorResponse {
        let configuration = self.reader.observe_configuration(firm);
        let records = self.reader.observe_records(&configuration);
        match list_effects(&configuration.value, request, &record_refs(&records)) {
            Ok(mut effects) => {
                effects.extend(
                    configuration
                        .read_error
                        .map(|error| format!("based on the last known state: {error}")),
                );
                OperatorResponse::DryRun {
                    firm: firm.to_owned(),
                    version: configuration.version,
                    effects,
                }
            }
            Err(error) => self.not_accepted_response(firm, error.into()),
        }
    }

    fn coverage_of(&self, firm: &str, version: Version) -> Coverage {
        let configuration = self.reader.cached_configuration(firm).unwrap_or_default();
        reported_coverage(&self.views.current(), &*self.fleet, &configuration, version)
    }
}

/// Warnings about an accepted command.
fn list_warnings(command: &Command, instances: &[InstanceLocation]) -> Vec<String> {
    let Command::SetInstance { service, instance, .. } = command else { return Vec::new() };
    let mut of_service = instances.iter().filter(|known| known.service == *service);
    if of_service.any(|known| known.instance == *instance) {
        return Vec::new();
    }
    vec![format!("no instance {instance:?} is known in service {service:?}")]
}

fn record_refs(observed: &[ObservedObject<Record>]) -> Vec<&Record> {
    observed.iter().map(|record| &*record.value).collect()
}

/// Response to a statement about a firm that the operator may not act for.
fn other_firm_response(operator: &Operator, firm: &str, action: &Action) -> OperatorResponse {
    let error = CommandError::OtherFirm { operator: operator.name.clone(), firm: firm.to_owned() };
    let reason = error.to_string();
    match action {
        Action::Show(_) | Action::Wait { .. } => OperatorResponse::Failed { reason },
        Action::Change { .. } | Action::DryRun(_) => {
            OperatorResponse::NotAccepted { reason, winner: None, risk: false }
        }
    }
}
