//! State that members report to a daemon.

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
    /// Number of running requests.
    pub running: u32,
    /// Largest number of concurrent requests.
    pub limit: u32,
}

/// Configuration versions in force at the members of a firm's services.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Survey {
    /// Number of members of the services that the survey covers.
    pub members: usize,
    /// Configuration version in force at each of these members that has reported it.
    pub versions: BTreeMap<BootId, Version>,
    /// Services that the survey doesn't cover, since their members are not known or were not queried.
    pub unseen: Vec<ServiceName>,
}

impl Survey {
    /// Survey of the daemon's own service from `versions`, which its members have reported unasked.
    pub fn from_reports(
        view: &View,
        mut versions: BTreeMap<BootId, Version>,
        configuration: &Configuration,
    ) -> Self {
        let record = &view.serving.record;
        let is_own_service = |service: &&ServiceName| **service == record.service;
        let has_own = configuration.services.keys().any(|service| is_own_service(&service));
        let unseen = configuration.services.keys().filter(|service| !is_own_service(service));
        let unseen = unseen.cloned().collect();
        if !has_own {
            return Self { unseen, ..Self::default() };
        }
        versions.retain(|boot, _| record.members.contains_key(boot));
        Self { members: record.members.len(), versions, unseen }
    }
}

/// Source of the members' state. The members include this daemon.
pub trait Fleet: Send + Sync {
    /// Configuration version in force at each member, as last reported.
    fn versions(&self) -> BTreeMap<BootId, Version>;

    /// Queries the members of all services in `configuration` for the configuration version in force.
    ///
    /// The default implementation uses only what members of the daemon's own service last reported.
    fn survey(&self, view: &View, configuration: &Configuration) -> Survey {
        Survey::from_reports(view, self.versions(), configuration)
    }

    /// Counters of this daemon since its start, by name.
    fn counters(&self) -> BTreeMap<String, u64> {
        BTreeMap::new()
    }

    /// Load of each member, as last reported.
    fn loads(&self) -> BTreeMap<BootId, MemberLoad>;

    /// Number of requests that ended with an error of this daemon since its start, by reason.
    fn error_counts(&self) -> BTreeMap<String, u64>;

    /// Passes on a configuration that a command at this daemon has just stored, so that it is applied before a watch of
    /// the platform reports it. It may be of another firm than the daemon's.
    fn offer_configuration(&self, configuration: &Configuration) {
        let _ = configuration;
    }
}

/// Fleet that consists of this daemon only.
#[derive(Clone, Debug)]
pub struct LocalFleet {
    views: Views,
}

impl LocalFleet {
    /// Creates a fleet that reports from the daemon's own view.
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

    fn error_counts(&self) -> BTreeMap<String, u64> {
        BTreeMap::new()
    }
}
