//! What a daemon knows of the members of its service, itself among them.

use std::collections::BTreeMap;

use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::Version;

use crate::version::Views;

/// Load of one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberLoad {
    /// Requests that run now.
    pub running: u32,
    /// Requests that may run at most now.
    pub limit: u32,
}

/// Source of what members report.
pub trait Fleet: Send + Sync {
    /// Configuration version that each member last reported to have in force.
    fn versions(&self) -> BTreeMap<BootId, Version>;

    /// Load that each member last reported.
    fn loads(&self) -> BTreeMap<BootId, MemberLoad>;

    /// Requests that this daemon has refused since its start, by reason.
    fn refusals(&self) -> BTreeMap<String, u64>;

    /// Takes a configuration that a command of this daemon has just made, so that it need not
    /// come back through a watch of the platform. Its firm may be another than the daemon's.
    fn spread(&self, configuration: &Configuration) {
        let _ = configuration;
    }
}

/// A fleet of which only this daemon is known.
#[derive(Clone, Debug)]
pub struct ViewFleet {
    views: Views,
}

impl ViewFleet {
    /// Reads the daemon's own view.
    pub fn new(views: Views) -> Self {
        Self { views }
    }
}

impl Fleet for ViewFleet {
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
