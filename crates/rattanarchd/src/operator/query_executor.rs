//! Executes queries and checks conditions.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanarch_config::Comparison;
use rattanarch_config::Coverage;
use rattanarch_config::OperatorResponse;
use rattanarch_config::Query;
use rattanarch_config::Subject;
use rattanarch_config::Table;
use rattanarch_config::page_number;
use rattanarch_language::Condition;
use rattanarch_types::AuditEntry;
use rattanarch_types::Configuration;
use rattanarch_types::Serial;
use rattanarch_types::Version;

use crate::operator::Fleet;
use crate::operator::audit::load_page;
use crate::operator::coverage::query_coverage;
use crate::operator::object_reader::ObjectReader;
use crate::operator::table_builder::TableBuilder;
use crate::process::Clock;
use crate::version::Views;

/// Most audit pages that one query reads.
const MAX_AUDIT_PAGES: u64 = 8;

/// Executes queries on the state that this daemon can read.
pub(crate) struct QueryExecutor<'a> {
    /// Source of configurations and records.
    pub reader: &'a ObjectReader,
    /// State that members report.
    pub fleet: &'a dyn Fleet,
    /// The daemon's own view.
    pub views: &'a Views,
}

/// Unfiltered result of a query.
struct QueryResult {
    table: Table,
    version: Version,
    /// Longest time since a part of the table was confirmed to be current.
    age: Duration,
    /// Why parts of the table are outdated or missing.
    notes: Vec<String>,
}

impl QueryExecutor<'_> {
    /// Executes a query.
    pub(crate) fn show(&self, firm: &str, query: &Query) -> OperatorResponse {
        let result = self.query(firm, query);
        OperatorResponse::Table {
            firm: firm.to_owned(),
            table: result.table.select(query),
            version: result.version,
            age_ms: result.age.as_millis() as u64,
            notes: result.notes,
        }
    }

    /// Checks a condition once.
    pub(crate) fn check(&self, firm: &str, condition: &Condition) -> OperatorResponse {
        let (query, wants_rows) = match condition {
            Condition::InForce(version) => return self.check_in_force(firm, *version),
            Condition::Any(query) => (query, true),
            Condition::None(query) => (query, false),
        };
        match self.show(firm, query) {
            OperatorResponse::Table { table, notes, .. } if notes.is_empty() => {
                let met = table.rows.is_empty() != wants_rows;
                OperatorResponse::Condition { met, detail: format!("{} rows", table.rows.len()) }
            }
            OperatorResponse::Table { notes, .. } => {
                OperatorResponse::Condition { met: false, detail: notes.join("; ") }
            }
            other => other,
        }
    }

    fn check_in_force(&self, firm: &str, version: Option<Version>) -> OperatorResponse {
        let configuration = self.reader.observe_configuration(firm);
        if let (None, Some(error)) = (version, configuration.read_error) {
            let detail = format!("the newest version is not known: {error}");
            return OperatorResponse::Condition { met: false, detail };
        }
        let version = version.unwrap_or(configuration.version);
        let view = self.views.current();
        let coverage = query_coverage(&view, self.fleet, &configuration.value, version);
        let Coverage { reported, members, unseen } = &coverage;
        let mut detail = format!("version {version} at {reported} of {members} members");
        if !unseen.is_empty() {
            detail += &format!(", no reports of {}", unseen.join(", "));
        }
        OperatorResponse::Condition { met: coverage.is_full(), detail }
    }

    fn query(&self, firm: &str, query: &Query) -> QueryResult {
        let now = Clock.now();
        let configuration = self.reader.observe_configuration(firm);
        let observed = if needs_records(query) {
            self.reader.observe_records(&configuration)
        } else {
            Vec::new()
        };
        let mut notes: Vec<String> = configuration.read_error.iter().cloned().collect();
        notes.extend(observed.iter().filter_map(|record| record.read_error.clone()));
        let (entries, entries_note) = self.audit_entries(&configuration.value, query);
        notes.extend(entries_note);
        let confirmed_at =
            observed.iter().map(|record| record.confirmed_at).chain([configuration.confirmed_at]);
        let confirmed_at =
            confirmed_at.collect::<Option<Vec<_>>>().map(|all| all.into_iter().min());
        if confirmed_at.is_none() {
            notes.push("parts of this were never read".to_owned());
        }
        let confirmed_at = confirmed_at.flatten().unwrap_or(now);
        let view = self.views.current();
        let records =
            observed.iter().map(|record| (record.value.service.clone(), record.value.clone()));
        let records: BTreeMap<_, _> = records.collect();
        let builder = TableBuilder {
            configuration: &configuration.value,
            records: &records,
            entries: &entries,
            view: &view,
            fleet: self.fleet,
        };
        let (table, version) = (builder.build(query), configuration.version);
        notes.sort();
        notes.dedup();
        QueryResult { table, version, age: now.saturating_sub(confirmed_at), notes }
    }

    /// Audit entries for a query, and a note if not all of them were read.
    fn audit_entries(
        &self,
        configuration: &Configuration,
        query: &Query,
    ) -> (Vec<AuditEntry>, Option<String>) {
        if query.subject != Subject::Audit {
            return (Vec::new(), None);
        }
        let trail = &configuration.trail;
        let before = serial_limit(query).unwrap_or(trail.start).min(trail.start);
        let mut entries = Vec::new();
        let mut note = None;
        if let Some(last) = before.checked_sub(1) {
            let first = page_number(last).saturating_sub(MAX_AUDIT_PAGES - 1);
            for number in first..=page_number(last) {
                match load_page(self.reader.platform(), &configuration.firm, number) {
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

/// Upper bound of the serials that a query selects; `None` if it sets none.
fn serial_limit(query: &Query) -> Option<Serial> {
    let below = query
        .filters
        .iter()
        .filter(|filter| filter.column == "serial" && filter.comparison == Comparison::Below);
    below.filter_map(|filter| filter.value.parse().ok()).min()
}

fn needs_records(query: &Query) -> bool {
    matches!(
        query.subject,
        Subject::Services | Subject::DataCentres | Subject::Upstreams | Subject::Key { .. }
    )
}
