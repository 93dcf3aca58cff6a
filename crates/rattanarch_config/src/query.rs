//! What operators can ask.

use std::fmt;

use rattanarch_types::ServiceName;

use crate::text::quoted;

/// What a query is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    /// Services of a firm.
    Services,
    /// Data centres of a firm.
    DataCentres,
    /// Members of the firm's services.
    Upstreams,
    /// Who owns one key.
    Key {
        /// The key.
        key: String,
        /// Service of the key.
        service: ServiceName,
    },
    /// Routing rules.
    Rules,
    /// Configuration versions and where they are in force.
    Configuration,
    /// Load of the members, as far as it is known.
    Load,
    /// Requests refused, by reason, as far as it is known.
    Refusals,
    /// Accepted changes.
    Audit,
}

impl Subject {
    /// Columns of its table, in order.
    pub fn columns(&self) -> &'static [&'static str] {
        match self {
            Self::Services => &["service", "sharing", "rules", "out", "lost", "members", "version"],
            Self::DataCentres => &["data-centre", "region", "standing", "upstreams"],
            Self::Upstreams => &[
                "service",
                "instance",
                "boot-id",
                "data-centre",
                "standing",
                "slices",
                "slots",
                "leaving",
                "peer",
                "caller",
            ],
            Self::Key { .. } => {
                &["key", "service", "slice", "owner", "instance", "data-centre", "version", "since"]
            }
            Self::Rules => &["service", "prefix", "key", "priority", "timeout-ms"],
            Self::Configuration => &["firm", "version", "members", "reported", "behind", "unseen"],
            Self::Load => &["service", "instance", "boot-id", "running", "limit"],
            Self::Refusals => &["service", "reason", "count"],
            Self::Audit => &[
                "serial", "time-ms", "operator", "firm", "object", "before", "after", "command",
                "write-id",
            ],
        }
    }
}

/// How a filter compares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Comparison {
    /// `=`
    Is,
    /// `!=`
    IsNot,
    /// `~`: the cell contains the value.
    Contains,
    /// `>`, for numbers.
    Above,
    /// `<`, for numbers.
    Below,
}

/// Keeps the rows whose column passes a test.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Filter {
    /// A column of the query's subject.
    pub column: String,
    /// How to compare.
    pub comparison: Comparison,
    /// What to compare with.
    pub value: String,
}

/// A question about what holds now.
///
/// Its display form is its text in the operators' language.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// What it is about.
    pub subject: Subject,
    /// Rows must pass all of them.
    pub filters: Vec<Filter>,
    /// Columns to keep, of the subject's; empty for all.
    pub columns: Vec<String>,
}

impl Query {
    /// A query for all rows and columns.
    pub fn new(subject: Subject) -> Self {
        Self { subject, filters: Vec::new(), columns: Vec::new() }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Services => write!(f, "services"),
            Self::DataCentres => write!(f, "data-centres"),
            Self::Upstreams => write!(f, "upstreams"),
            Self::Key { key, service } => write!(f, "key {} in {}", quoted(key), quoted(service)),
            Self::Rules => write!(f, "rules"),
            Self::Configuration => write!(f, "configuration"),
            Self::Load => write!(f, "load"),
            Self::Refusals => write!(f, "refusals"),
            Self::Audit => write!(f, "audit"),
        }
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Is => "=",
            Self::IsNot => "!=",
            Self::Contains => "~",
            Self::Above => ">",
            Self::Below => "<",
        })
    }
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.subject)?;
        for (at, filter) in self.filters.iter().enumerate() {
            let joint = if at == 0 { "where" } else { "and" };
            write!(
                f,
                " {joint} {} {} {}",
                filter.column,
                filter.comparison,
                quoted(&filter.value)
            )?;
        }
        if !self.columns.is_empty() {
            write!(f, " columns {}", self.columns.join(", "))?;
        }
        Ok(())
    }
}
