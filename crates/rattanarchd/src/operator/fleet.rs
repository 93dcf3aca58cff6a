//! What a daemon knows of the members of its service, itself among them.

use std::collections::BTreeMap;

use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::ServiceName;
use rattanarch_types::Version;

use crate::version::View;
use crate::version::Views;

/// Load of one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberLoad {
    /// Requests that run now.
    pub running: u32,
    /// Requests that may run at most now.
    pub limit: u32,
}

/// Answer to the question which members have a configuration in force.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Survey {
    /// Number of members asked.
    pub members: usize,
    /// Configuration version in force at each member that answered.
    pub versions: BTreeMap<BootId, Version>,
    /// Services whose members are not known.
    pub unseen: Vec<ServiceName>,
}

impl Survey {
    /// What the members of the daemon's own service reported without being asked.
    pub fn from_reports(
        view: &View,
        mut versions: BTreeMap<BootId, Version>,
        configuration: &Configuration,
    ) -> Self {
        let record = &view.serving.record;
        let is_own = |service: &&ServiceName| **service == record.service;
        let own = configuration.services.keys().any(|service| is_own(&service));
        let unseen = configuration.services.keys().filter(|service| !is_own(service));
        let unseen = unseen.cloned().collect();
        if !own {
            return Self { unseen, ..Self::default() };
        }
        versions.retain(|boot, _| record.members.contains_key(boot));
        Self { members: record.members.len(), versions, unseen }
    }
}

/// Source of what members report.
pub trait Fleet: Send + Sync {
    /// Configuration version that each member last reported to have in force.
    fn versions(&self) -> BTreeMap<BootId, Version>;

    /// Asks every member that can be found which version of `configuration` it has in force.
    ///
    /// By default only the members of the daemon's own service, by what they last reported.
    fn survey(&self, view: &View, configuration: &Configuration) -> Survey {
        Survey::from_reports(view, self.versions(), configuration)
    }

    /// Counters of this daemon since its start, by name.
    fn counters(&self) -> BTreeMap<String, u64> {
        BTreeMap::new()
    }

    /// Load that each member last reported.
    fn loads(&self) -> BTreeMap<BootId, MemberLoad>;

    /// Requests that this daemon has refused since its start, by reason.
    fn refusals(&self) -> BTreeMap<String, u64>;

    /// Takes a configuration that a command of this daemon has just made, so that it need not
    /// come back through a watch of the platform. Its firm may be another than the daemon's.
    fn offer_configuration(&self, configuration: &Configuration) {
        let _ = configuration;
    }
}

/// A fleet of which only this daemon is known.
#[derive(Clone, Debug)]
pub struct LocalFleet {
    views: Views,
}

impl LocalFleet {
    /// Reads the daemon's own view.
    pub fn new(views: Views) -> Self {
        Self { views }
    }
}

impl Fleet for LocalFleet {
    fn versions(&self) -> BTreeMap<BootId, Version> {
        let view = self.views.current();
        BTreeMap::from([(view.serving.me, view.configuration.version)])
    }

    fn loads(&self) -> BTreeMap<BootId, MemberLoad> {
        BTreeMap::new()
    }

    fn refusals(&self) -> BTreeMap<String, u64> {
        BTreeMap::new()
    }
}
