//! Answers statements.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanarch_config::Answer;
use rattanarch_config::Command;
use rattanarch_config::CommandError;
use rattanarch_config::Coverage;
use rattanarch_config::Operator;
use rattanarch_config::Order;
use rattanarch_config::Place;
use rattanarch_config::Query;
use rattanarch_config::Request;
use rattanarch_config::Subject;
use rattanarch_config::Table;
use rattanarch_config::Test;
use rattanarch_config::page_of;
use rattanarch_language::Action;
use rattanarch_language::Condition;
use rattanarch_language::Statement;
use rattanarch_language::parse;
use rattanarch_platform::Platform;
use rattanarch_types::Configuration;
use rattanarch_types::Entry;
use rattanarch_types::FirmName;
use rattanarch_types::Object;
use rattanarch_types::Record;
use rattanarch_types::Serial;
use rattanarch_types::Version;

use crate::operator::Fleet;
use crate::operator::Status;
use crate::operator::audit::load_page;
use crate::operator::coverage::ask_coverage;
use crate::operator::coverage::known_coverage;
use crate::operator::dry_run::effects;
use crate::operator::dry_run::places;
use crate::operator::firms::Firms;
use crate::operator::ids::draw_write_id;
use crate::operator::ids::unix_ms;
use crate::operator::known::Look;
use crate::operator::names::owner_of;
use crate::operator::tables::Sources;
use crate::operator::writer::WriteError;
use crate::operator::writer::Written;
use crate::operator::writer::write;
use crate::process::Clock;
use crate::process::ProcessSettings;
use crate::version::Views;

/// Most audit pages that one query reads.
const AUDIT_PAGES: u64 = 8;

/// Answers queries and carries commands out, for operators whose names are proved.
pub struct Desk {
    process: ProcessSettings,
    views: Views,
    firms: Firms,
    fleet: Arc<dyn Fleet>,
}

/// What a query was answered from.
struct Ground {
    table: Table,
    version: Version,
    age: Duration,
    notes: Vec<String>,
}

impl Desk {
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
    pub fn answer(&self, operator: &Operator, request: &Request) -> Answer {
        let statement = match parse(&request.statement) {
            Ok(statement) => statement,
            Err(error) => {
                let (column, nearest) = (error.column, error.nearest.clone());
                return Answer::Malformed { reason: error.to_string(), column, nearest };
            }
        };
        let firm = self.firm_of(operator, &statement);
        match statement.action {
            Action::Show(query) => self.show(operator, &firm, &query),
            Action::Change { command, expected, confirmed } => {
                let seen = request.seen.as_ref().filter(|seen| seen.firm == firm);
                let order = Order::new(operator.clone(), command)
                    .with_expected(expected.or(request.expected))
                    .with_seen(seen.map(|seen| seen.version))
                    .with_confirmed(confirmed || request.confirmed)
                    .with_time(unix_ms())
                    .with_write(request.write_id.unwrap_or_else(draw_write_id));
                self.change(&firm, order, request.write_id.is_some())
            }
            Action::DryRun(command) => {
                let order = Order::new(operator.clone(), command).with_expected(request.expected);
                self.dry_run(&firm, order)
            }
            Action::Wait { condition, .. } => self.check(operator, &firm, &condition),
        }
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
                Some(Object::Service(service.clone()))
            }
            _ => None,
        };
        let owner = object.and_then(|object| owner_of(self.firms.platform(), &object).ok()?);
        owner.unwrap_or_else(|| self.process.firm.clone())
    }

    fn change(&self, firm: &str, order: Order, repeated: bool) -> Answer {
        if let Some(refusal) = refuse_foreign(&order.operator, firm) {
            return refusal;
        }
        let places = places(&borrowed(&self.records_for(firm, &order.command)));
        let (write_id, command) = (order.write_id, order.command.clone());
        let operator = order.operator.name.clone();
        let written = write(&self.firms, firm, order, repeated, &places);
        log::info!(operator = operator.as_str(), firm, outcome:? = written; "{command}");
        if matches!(written, Written::Accepted(_))
            && let Some(configuration) = self.firms.known_configuration(firm)
        {
            self.fleet.spread(&configuration);
        }
        match written {
            Written::Accepted(version) => Answer::Accepted {
                firm: firm.to_owned(),
                version,
                write_id,
                coverage: self.known_coverage(firm, version),
                notes: notes_on(&command, &places),
            },
            Written::AlreadySo(version) => Answer::AlreadySo {
                firm: firm.to_owned(),
                version,
                coverage: self.known_coverage(firm, version),
            },
            Written::NotAccepted(error) => self.not_accepted(firm, error),
            Written::Unknown(reason) => Answer::Unknown { write_id, reason },
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
        self.records(&self.firms.look_configuration(firm))
    }

    /// Records of the firm's services. If the configuration could not be read, the platform is not
    /// asked for each of them: every call may take a whole timeout.
    fn records(&self, look: &Look<Configuration>) -> Vec<Look<Record>> {
        let record = |service: &String| match &look.fault {
            None => self.firms.look_record(service),
            Some(fault) => self.firms.recall_record(service, Some(fault.clone())),
        };
        look.value.services.keys().map(record).collect()
    }

    fn not_accepted(&self, firm: &str, error: WriteError) -> Answer {
        let WriteError::Command(error) = error else {
            return Answer::NotAccepted { reason: error.to_string(), winner: None, risk: false };
        };
        let winner = error.winner().cloned().map(Box::new);
        let reason = self.foreign_owner(firm, &error).unwrap_or_else(|| error.to_string());
        Answer::NotAccepted { reason, winner, risk: error.is_risk() }
    }

    /// Says which other firm has what is missing here.
    fn foreign_owner(&self, firm: &str, error: &CommandError) -> Option<String> {
        let CommandError::Missing { object, .. } = error else { return None };
        let owner = owner_of(self.firms.platform(), object).ok()??;
        (owner != firm).then(|| format!("{object} belongs to firm {owner:?}, not to {firm:?}"))
    }

    fn dry_run(&self, firm: &str, order: Order) -> Answer {
        if let Some(refusal) = refuse_foreign(&order.operator, firm) {
            return refusal;
        }
        let look = self.firms.look_configuration(firm);
        let records = self.records(&look);
        match effects(&look.value, order, &borrowed(&records)) {
            Ok(mut effects) => {
                effects.extend(look.fault.map(|fault| format!("tried on what is known: {fault}")));
                Answer::DryRun { firm: firm.to_owned(), version: look.version, effects }
            }
            Err(error) => self.not_accepted(firm, error.into()),
        }
    }

    fn show(&self, operator: &Operator, firm: &str, query: &Query) -> Answer {
        if let Some(Answer::NotAccepted { reason, .. }) = refuse_foreign(operator, firm) {
            return Answer::Failed { reason };
        }
        let ground = self.ground(firm, query);
        Answer::Table {
            firm: firm.to_owned(),
            table: ground.table.select(query),
            version: ground.version,
            age_ms: ground.age.as_millis() as u64,
            notes: ground.notes,
        }
    }

    fn check(&self, operator: &Operator, firm: &str, condition: &Condition) -> Answer {
        let (query, wants_rows) = match condition {
            Condition::InForce(version) => return self.check_in_force(operator, firm, *version),
            Condition::Any(query) => (query, true),
            Condition::None(query) => (query, false),
        };
        match self.show(operator, firm, query) {
            Answer::Table { table, notes, .. } if notes.is_empty() => {
                let met = table.rows.is_empty() != wants_rows;
                Answer::Condition { met, detail: format!("{} rows", table.rows.len()) }
            }
            Answer::Table { notes, .. } => {
                Answer::Condition { met: false, detail: notes.join("; ") }
            }
            other => other,
        }
    }

    fn check_in_force(&self, operator: &Operator, firm: &str, version: Option<Version>) -> Answer {
        if let Some(refusal) = refuse_foreign(operator, firm) {
            return refusal;
        }
        let look = self.firms.look_configuration(firm);
        if let (None, Some(fault)) = (version, look.fault) {
            let detail = format!("the newest version is not known: {fault}");
            return Answer::Condition { met: false, detail };
        }
        let version = version.unwrap_or(look.version);
        let view = self.views.current();
        let coverage = ask_coverage(&view, &*self.fleet, &look.value, version);
        let Coverage { reported, members, unseen } = &coverage;
        let mut detail = format!("version {version} at {reported} of {members} members");
        if !unseen.is_empty() {
            detail += &format!(", no reports of {}", unseen.join(", "));
        }
        Answer::Condition { met: coverage.is_full(), detail }
    }

    fn known_coverage(&self, firm: &str, version: Version) -> Coverage {
        let configuration = self.firms.known_configuration(firm).unwrap_or_default();
        known_coverage(&self.views.current(), &*self.fleet, &configuration, version)
    }

    fn ground(&self, firm: &str, query: &Query) -> Ground {
        let now = Clock.now();
        let look = self.firms.look_configuration(firm);
        let looks = if needs_records(query) { self.records(&look) } else { Vec::new() };
        let mut notes: Vec<String> = look.fault.iter().cloned().collect();
        notes.extend(looks.iter().filter_map(|look| look.fault.clone()));
        let (entries, missing) = self.entries(&look.value, query);
        notes.extend(missing);
        let sure = looks.iter().map(|look| look.sure).chain([look.sure]);
        let sure = sure.collect::<Option<Vec<_>>>().map(|all| all.into_iter().min());
        if sure.is_none() {
            notes.push("parts of this were never read".to_owned());
        }
        let sure = sure.flatten().unwrap_or(now);
        let view = self.views.current();
        let records = looks.iter().map(|look| (look.value.service.clone(), look.value.clone()));
        let records: BTreeMap<_, _> = records.collect();
        let sources = Sources {
            configuration: &look.value,
            records: &records,
            entries: &entries,
            view: &view,
            fleet: &*self.fleet,
        };
        let (table, version) = (sources.table(query), look.version);
        notes.sort();
        notes.dedup();
        Ground { table, version, age: now.saturating_sub(sure), notes }
    }

    /// Audit entries for a query, and a note when not all could be read.
    fn entries(
        &self,
        configuration: &Configuration,
        query: &Query,
    ) -> (Vec<Entry>, Option<String>) {
        if query.subject != Subject::Audit {
            return (Vec::new(), None);
        }
        let trail = &configuration.trail;
        let before = serial_limit(query).unwrap_or(trail.start).min(trail.start);
        let mut entries = Vec::new();
        let mut note = None;
        if let Some(last) = before.checked_sub(1) {
            let first = page_of(last).saturating_sub(AUDIT_PAGES - 1);
            for number in first..=page_of(last) {
                match load_page(self.firms.platform(), &configuration.firm, number) {
                    Ok(page) => entries.extend(page),
                    Err(error) => note = Some(error.to_string()),
                }
            }
            let oldest = entries.first().map_or(before, |entry| entry.serial);
            if first > 0 && note.is_none() {
                note = Some(format!("older entries: add \"where serial < {oldest}\""));
            }
        }
        entries.retain(|entry| entry.serial < trail.start);
        entries.extend(trail.entries.iter().cloned());
        (entries, note)
    }
}

/// The serial below which a query asks for entries.
fn serial_limit(query: &Query) -> Option<Serial> {
    let below = query.filters.iter().filter(|f| f.column == "serial" && f.test == Test::Below);
    below.filter_map(|filter| filter.value.parse().ok()).min()
}

fn needs_records(query: &Query) -> bool {
    matches!(
        query.subject,
        Subject::Services | Subject::DataCentres | Subject::Upstreams | Subject::Key { .. }
    )
}

/// Warnings about a command that is accepted.
fn notes_on(command: &Command, places: &[Place]) -> Vec<String> {
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

fn refuse_foreign(operator: &Operator, firm: &str) -> Option<Answer> {
    if operator.may_act(firm) {
        return None;
    }
    let error = CommandError::Foreign { operator: operator.name.clone(), firm: firm.to_owned() };
    Some(Answer::NotAccepted { reason: error.to_string(), winner: None, risk: false })
}
