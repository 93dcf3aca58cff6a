//! Types shared by the rattanarch crates.
//!
//! A *firm* runs *services*. The key space of a service is divided into *slices*, and each slice has at
//! most one *owner*: a *member* of the service, which is one incarnation of an instance, identified by its
//! [`BootId`]. The [`Record`] of a service says who owns what; the [`Configuration`] of a firm holds what its
//! operators have set. Both are stored in the platform's object API and change only by conditional
//! update.
//!
//! This crate holds plain data; it does no I/O, reads no clock and draws no random numbers.

mod audit_trail;
mod config_object;
mod configuration;
mod explain_query;
mod explanation;
mod ids;

mod key;
mod member;
mod moment;
mod record;
mod record_change;
mod route;
mod store_position;
mod verdict;

pub use audit_trail::AuditEntry;
pub use audit_trail::AuditTrail;
pub use audit_trail::Serial;
pub use config_object::ConfigObject;
pub use configuration::Configuration;
pub use configuration::DataCentre;
pub use configuration::Service;
pub use configuration::Sharing;
pub use configuration::Standing;
pub use explain_query::ExplainQuery;
pub use explain_query::ExplainQueryError;
pub use explanation::ExplainedAdmission;
pub use explanation::ExplainedInstance;
pub use explanation::ExplainedLoad;
pub use explanation::ExplainedRefusal;
pub use explanation::ExplainedRoute;
pub use explanation::ExplainedService;
pub use explanation::Explanation;
pub use explanation::TakenOut;
pub use explanation::is_credential_header;
pub use ids::BootId;
pub use ids::DataCentreName;
pub use ids::Fence;
pub use ids::FirmName;
pub use ids::FlowId;
pub use ids::InstanceId;
pub use ids::OperatorName;
pub use ids::ServiceName;
pub use ids::SliceId;
pub use ids::Version;
pub use ids::WriteId;
pub use key::KeyHash;
pub use key::hash_key;
pub use key::slice_of;
pub use member::Member;
pub use moment::Moment;
pub use record::Record;
pub use record::RecordError;
pub use record_change::RecordChange;
pub use route::KeySource;
pub use route::Priority;
pub use route::Rank;
pub use route::Route;
pub use store_position::Era;
pub use store_position::MAX_ERA;
pub use store_position::StorePosition;
pub use store_position::era_of;
pub use store_position::restored_version;
pub use store_position::version_before;
pub use verdict::Verdict;
pub use verdict::VerdictError;
