//! Answers questions and checks conditions.

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
use crate::operator::coverage::ask_coverage;
use crate::operator::firms::Firms;
use crate::operator::tables::Sources;
use crate::process::Clock;
use crate::version::Views;

/// Most audit pages that one query reads.
const AUDIT_PAGES: u64 = 8;

/// What questions are answered from.
pub(crate) struct Queries<'a> {
    /// Configurations and records.
    pub firms: &'a Firms,
    /// What the members report.
    pub fleet: &'a dyn Fleet,
    /// The daemon's own view.
    pub views: &'a Views,
}

/// What a query was answered from.
struct Ground {
    table: Table,
    version: Version,
    age: Duration,
    notes: Vec<String>,
}

impl Queries<'_> {
    /// Answers a question.
    pub(crate) fn show(&self, firm: &str, query: &Query) -> OperatorResponse {
        let ground = self.ground(firm, query);
        OperatorResponse::Table {
            firm: firm.to_owned(),
            table: ground.table.select(query),
            version: ground.version,
            age_ms: ground.age.as_millis() as u64,
            notes: ground.notes,
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
        let look = self.firms.look_configuration(firm);
        if let (None, Some(fault)) = (version, look.fault) {
            let detail = format!("the newest version is not known: {fault}");
            return OperatorResponse::Condition { met: false, detail };
        }
        let version = version.unwrap_or(look.version);
        let view = self.views.current();
        let coverage = ask_coverage(&view, self.fleet, &look.value, version);
        let Coverage { reported, members, unseen } = &coverage;
        let mut detail = format!("version {version} at {reported} of {members} members");
        if !unseen.is_empty() {
            detail += &format!(", no reports of {}", unseen.join(", "));
        }
        OperatorResponse::Condition { met: coverage.is_full(), detail }
    }

    fn ground(&self, firm: &str, query: &Query) -> Ground {
        let now = Clock.now();
        let look = self.firms.look_configuration(firm);
        let looks = if needs_records(query) { self.firms.look_records(&look) } else { Vec::new() };
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
            fleet: self.fleet,
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
    ) -> (Vec<AuditEntry>, Option<String>) {
        if query.subject != Subject::Audit {
            return (Vec::new(), None);
        }
        let trail = &configuration.trail;
        let before = serial_limit(query).unwrap_or(trail.start).min(trail.start);
        let mut entries = Vec::new();
        let mut note = None;
        if let Some(last) = before.checked_sub(1) {
            let first = page_number(last).saturating_sub(AUDIT_PAGES - 1);
            for number in first..=page_number(last) {
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
    let below =
        query.filters.iter().filter(|f| f.column == "serial" && f.comparison == Comparison::Below);
    below.filter_map(|filter| filter.value.parse().ok()).min()
}

fn needs_records(query: &Query) -> bool {
    matches!(
        query.subject,
        Subject::Services | Subject::DataCentres | Subject::Upstreams | Subject::Key { .. }
    )
}
