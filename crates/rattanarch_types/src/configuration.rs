//! What a firm's operators want to hold.

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

/// Whether something takes part in service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Takes work.
    #[default]
    In,
    /// Takes no new work; what runs ends, and its slices move by planned release.
    Out,
}

/// How the instances of a service share its work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sharing {
    /// By key: each of this many slices has one owner. 1 to 4,096.
    Keyed(SliceId),
    /// Any instance may serve any request.
    Unkeyed,
}

/// A service as its operators want it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// How its instances share the work.
    pub sharing: Sharing,
    /// Rules for its requests, in no order; prefixes are unique.
    pub routes: Vec<Route>,
    /// Instances taken out of service by an operator.
    pub out: BTreeSet<InstanceId>,
    /// Lives of instances that an operator has declared lost: they may be taken over without
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

/// A data centre as its operators want it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DataCentre {
    /// Region that it stands in, such as `upper-at`.
    pub region: String,
    /// Whether it takes work.
    pub standing: Standing,
}

/// What one firm's operators want to hold; one object in the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Firm that it is of.
    pub firm: FirmName,
    /// One more than the version that the write replaced; equals the platform's object version.
    pub version: Version,
    /// Unique to the write that made this version.
    pub write_id: WriteId,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentreName, DataCentre>,
    /// Newest entries of the audit trail; empty in copies that peers pass on.
    #[serde(default)]
    pub trail: AuditTrail,
}

impl Configuration {
    /// A copy for peers, which need no audit entries.
    ///
    /// The trail is most of a small configuration's bytes, and commands read the platform's copy.
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
