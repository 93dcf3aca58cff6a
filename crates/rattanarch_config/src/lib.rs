//! Pure configuration logic: operator commands, firm isolation, versions and the audit trail.
//!
//! An [`Operator`] submits a [`CommandRequest`]: a [`Command`] with the version conditions and the write id that make
//! it safe under races and when it is repeated. [`apply`] produces the firm's next configuration version, which
//! includes the audit entry, or an error. The daemon stores the result with one conditional update. [`Latest`] keeps
//! the newest version of an object that a daemon knows, and [`ServiceConfiguration`] the part that concerns its own
//! service.
//!
//! ```
//! use rattanarch_config::{Applied, Command, CommandRequest, Operator, apply};
//! use rattanarch_types::Configuration;
//!
//! let before = Configuration { firm: "coop".to_owned(), ..Configuration::default() };
//! let command = Command::CreateDataCentre { name: "nordkuehl".into(), region: "upper-at".into() };
//! let request = CommandRequest::new(Operator::of_firm("anna", "coop"), command);
//! let Ok(Applied::Changed(after)) = apply(&before, &request) else { unreachable!() };
//! assert_eq!(after.version, 1);
//! assert_eq!(after.trail.entries[0].operator, "anna");
//! ```
//!
//! No I/O, no clock and no randomness: times and write ids are arguments.

mod apply;
mod audit_page;
mod command;
mod command_request;
mod edit;
mod error;
mod instance_location;
mod latest;
mod limits;
mod operator;
mod operator_api;
mod query;
mod service_configuration;
mod table;
mod text;

pub use apply::Applied;
pub use apply::apply;
pub use audit_page::AuditPage;
pub use audit_page::MAX_PAGES;
pub use audit_page::MAX_TRAIL_ENTRIES;
pub use audit_page::TRAIL_KEPT_ENTRIES;
pub use audit_page::TRAIL_MOVE_THRESHOLD;
pub use audit_page::page_number;
pub use audit_page::page_path;
pub use command::Command;
pub use command::RouteChange;
pub use command_request::CommandRequest;
pub use error::CommandError;
pub use instance_location::InstanceLocation;
pub use instance_location::check_instances_left;
pub use latest::Latest;
pub use operator::Operator;
pub use operator_api::Coverage;
pub use operator_api::OperatorRequest;
pub use operator_api::OperatorResponse;
pub use operator_api::SeenVersion;
pub use query::Comparison;
pub use query::Filter;
pub use query::Query;
pub use query::Subject;
pub use service_configuration::PeerVersion;
pub use service_configuration::ServiceConfiguration;
pub use table::Table;
pub use text::quoted;
