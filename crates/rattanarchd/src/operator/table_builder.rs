//! Builds the result tables of queries.

use std::collections::BTreeMap;
use std::sync::Arc;

use rattanarch_config::InstanceLocation;
use rattanarch_config::Query;
use rattanarch_config::Subject;
use rattanarch_config::Table;
use rattanarch_types::AuditEntry;
use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::DataCentre;
use rattanarch_types::KeySource;
use rattanarch_types::Member;
use rattanarch_types::Record;
use rattanarch_types::Route;
use rattanarch_types::Service;
use rattanarch_types::Sharing;
use rattanarch_types::Standing;
use rattanarch_types::hash_key;
use rattanarch_types::slice_of;
use serde::Serialize;

use crate::operator::Fleet;
use crate::operator::MemberLoad;
use crate::operator::coverage::query_coverage;
use crate::version::View;

/// Builds a result table from the state that a query has read. The table of the configuration also
/// surveys the members, which blocks.
pub(crate) struct TableBuilder<'a> {
    /// Configuration of the firm.
    pub configuration: &'a Configuration,
    /// Records of the firm's services, by service name.
    pub records: &'a BTreeMap<String, Arc<Record>>,
    /// Audit entries of the firm that were read.
    pub entries: &'a [AuditEntry],
    /// Snapshot of the daemon's own service.
    pub view: &'a View,
    /// State that members report.
    pub fleet: &'a dyn Fleet,
}

impl TableBuilder<'_> {
    /// Builds the whole table of the query's subject; filters and columns are not applied yet.
    /// The cells of each row are in the order of [`Subject::columns`].
    pub(crate) fn build(&self, query: &Query) -> Table {
        let rows = match &query.subject {
            Subject::Services => self.service_rows(),
            Subject::DataCentres => self.data_centre_rows(),
            Subject::Upstreams => self.upstream_rows(),
            Subject::Key { key, service } => self.key_rows(key, service),
            Subject::Rules => self.route_rows(),
            Subject::Configuration => self.configuration_rows(),
            Subject::Load => self.load_rows(),
            Subject::Refusals => self.error_count_rows(),
            Subject::Audit => self.entries.iter().map(entry_row).collect(),
        };
        Table { rows, ..Table::for_query(query) }
    }

    fn service_rows(&self) -> Vec<Vec<String>> {
        self.configuration
            .services
            .iter()
            .map(|(name, service)| self.service_row(name, service))
            .collect()
    }

    fn service_row(&self, name: &str, service: &Service) -> Vec<String> {
        let record = self.records.get(name);
        vec![
            name.to_owned(),
            sharing_text(service.sharing),
            service.routes.len().to_string(),
            service.out.len().to_string(),
            service.lost.len().to_string(),
            record.map_or(0, |record| record.members.len()).to_string(),
            record.map_or(0, |record| record.version).to_string(),
        ]
    }

    fn data_centre_rows(&self) -> Vec<Vec<String>> {
        let members = || self.records.values().flat_map(|record| record.members.values());
        let count = |name: &str| members().filter(|member| member.data_centre == name).count();
        let row = |(name, centre): (&String, &DataCentre)| {
            let standing = standing_text(centre.standing == Standing::In);
            vec![name.clone(), centre.region.clone(), standing, count(name).to_string()]
        };
        self.configuration.data_centres.iter().map(row).collect()
    }

    fn upstream_rows(&self) -> Vec<Vec<String>> {
        self.records.values().flat_map(|record| self.member_rows(record)).collect()
    }

    fn member_rows(&self, record: &Record) -> Vec<Vec<String>> {
        let row = |(boot, member): (&BootId, &Member)| {
            let location = InstanceLocation {
                service: record.service.clone(),
                instance: member.instance.clone(),
                data_centre: member.data_centre.clone(),
            };
            vec![
                record.service.clone(),
                member.instance.clone(),
                boot_text(*boot),
                member.data_centre.clone(),
                standing_text(location.is_in_service(self.configuration)),
                record.slices_of(*boot).count().to_string(),
                member.slots.to_string(),
                yes_no(member.leaving),
                member.peer.to_string(),
                member.caller.to_string(),
            ]
        };
        record.members.iter().map(row).collect()
    }

    fn key_rows(&self, key: &str, service: &str) -> Vec<Vec<String>> {
        let Some(record) = self.records.get(service) else { return Vec::new() };
        let hash = hash_key(key);
        let owner = record.owner_of(hash);
        let member = owner.and_then(|owner| record.members.get(&owner));
        let cell = |text: Option<String>| text.unwrap_or_default();
        vec![vec![
            key.to_owned(),
            service.to_owned(),
            slice_of(hash, record.slice_count()).to_string(),
            cell(owner.map(boot_text)),
            cell(member.map(|member| member.instance.clone())),
            cell(member.map(|member| member.data_centre.clone())),
            record.version.to_string(),
            cell(member.map(|member| member.term.to_string())),
        ]]
    }

    fn route_rows(&self) -> Vec<Vec<String>> {
        let rows = |(name, service): (&String, &Service)| {
            service.routes.iter().map(|route| route_row(name, route)).collect::<Vec<_>>()
        };
        self.configuration.services.iter().flat_map(rows).collect()
    }

    fn configuration_rows(&self) -> Vec<Vec<String>> {
        let version = self.configuration.version;
        let coverage = query_coverage(self.view, self.fleet, self.configuration, version);
        vec![vec![
            self.configuration.firm.clone(),
            version.to_string(),
            coverage.members.to_string(),
            coverage.reported.to_string(),
            coverage.members.saturating_sub(coverage.reported).to_string(),
            coverage.unseen.join(" "),
        ]]
    }

    fn load_rows(&self) -> Vec<Vec<String>> {
        let record = &self.view.serving.record;
        let row = |(boot, load): (BootId, MemberLoad)| {
            let instance = record.members.get(&boot).map(|member| member.instance.clone());
            vec![
                record.service.clone(),
                instance.unwrap_or_default(),
                boot_text(boot),
                load.running.to_string(),
                load.limit.to_string(),
            ]
        };
        self.fleet.loads().into_iter().map(row).collect()
    }

    fn error_count_rows(&self) -> Vec<Vec<String>> {
        let service = &self.view.serving.record.service;
        let row = |(reason, count): (String, u64)| vec![service.clone(), reason, count.to_string()];
        self.fleet.error_counts().into_iter().map(row).collect()
    }
}

fn entry_row(entry: &AuditEntry) -> Vec<String> {
    vec![
        entry.serial.to_string(),
        entry.time_ms.to_string(),
        entry.operator.clone(),
        entry.firm.clone().unwrap_or_default(),
        entry.object.to_string(),
        entry.before.to_string(),
        entry.after.to_string(),
        entry.command.clone(),
        entry.write_id.to_string(),
    ]
}

fn route_row(service: &str, route: &Route) -> Vec<String> {
    let key = match route.key {
        KeySource::Header => "header".to_owned(),
        KeySource::Segment(segment) => format!("segment {segment}"),
    };
    vec![
        service.to_owned(),
        route.prefix.clone(),
        key,
        variant_text(&route.priority),
        route.timeout.as_millis().to_string(),
    ]
}

/// Serialized name of a fieldless enum variant, as in the stored configuration.
fn variant_text(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

fn sharing_text(sharing: Sharing) -> String {
    match sharing {
        Sharing::Keyed(slices) => format!("keyed {slices}"),
        Sharing::Unkeyed => "unkeyed".to_owned(),
    }
}

fn standing_text(in_service: bool) -> String {
    if in_service { "in".to_owned() } else { "out".to_owned() }
}

fn yes_no(value: bool) -> String {
    if value { "yes".to_owned() } else { "no".to_owned() }
}

fn boot_text(boot: BootId) -> String {
    format!("{boot:#x}")
}
