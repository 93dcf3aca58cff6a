//! The configuration of a firm.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::AuditTrail;
use crate::BootId;
use crate::DataCentreName;
use crate::FirmName;
use crate::InstanceId;
use crate::Route;
use crate::ServiceName;
use crate::SliceId;
use crate::Version;
use crate::WriteId;

/// Whether something is in service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Gets work.
    #[default]
    In,
    /// Gets no new work; running requests finish, and its slices move by planned release.
    Out,
}

/// How requests are distributed over the instances of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sharing {
    /// By key: the key space has this many slices, 1 to 4,096, with one owner each.
    Keyed(SliceId),
    /// Any instance may serve any request.
    Unkeyed,
}

/// A service as its operators configured it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// How requests are distributed over its instances.
    pub sharing: Sharing,
    /// Rules for its requests, in no particular order; prefixes are unique.
    pub routes: Vec<Route>,
    /// Instances taken out of service by an operator.
    pub out: BTreeSet<InstanceId>,
    /// Boot ids of instances that an operator has declared lost: they may be taken over without
    /// proof that their lease has ended.
    pub lost: BTreeSet<BootId>,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            sharing: Sharing::Unkeyed,
            routes: vec![Route::default()],
            out: BTreeSet::new(),
            lost: BTreeSet::new(),
        }
    }
}

/// A data centre as its operators configured it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DataCentre {
    /// Region that it is in, such as `upper-at`.
    pub region: String,
    /// Whether it is in service.
    pub standing: Standing,
}

/// Configuration of one firm as set by its operators; stored as one object in the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Firm that it belongs to.
    pub firm: FirmName,
    /// One more than the version that the write replaced; equal to the platform's object version.
    pub version: Version,
    /// Id of the write that made this version; no other write has it.
    pub write_id: WriteId,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentreName, DataCentre>,
    /// Newest entries of the audit trail; empty in copies sent between peers.
    #[serde(default)]
    pub trail: AuditTrail,
}

impl Configuration {
    /// A copy for peers, without audit entries.
    ///
    /// Peers don't need them: the trail makes up most bytes of a small configuration, and commands read the platform's
    /// copy.
    pub fn without_trail(&self) -> Self {
        Self {
            firm: self.firm.clone(),
            version: self.version,
            write_id: self.write_id,
            services: self.services.clone(),
            data_centres: self.data_centres.clone(),
            trail: AuditTrail::default(),
        }
    }
}
