//! Queries of the operators' language.

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
    /// Owner of a key.
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
    /// Number of refused requests by reason, as far as it is known.
    Refusals,
    /// Accepted changes.
    Audit,
}

impl Subject {
    /// Columns of the result table, in order.
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

/// Comparison operator of a filter.
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

/// Keeps the rows whose cell in a column passes a comparison.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Filter {
    /// A column of the query's subject.
    pub column: String,
    /// Operator.
    pub comparison: Comparison,
    /// Value to compare with.
    pub value: String,
}

/// A query of the current state.
///
/// Its display form is its text in the operators' language.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// What is queried.
    pub subject: Subject,
    /// Filters that a row has to pass, all of them.
    pub filters: Vec<Filter>,
    /// Columns to keep; empty for all columns of the subject.
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
        for (index, filter) in self.filters.iter().enumerate() {
            let keyword = if index == 0 { "where" } else { "and" };
            write!(
                f,
                " {keyword} {} {} {}",
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
