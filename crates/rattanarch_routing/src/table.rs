//! One version of the routes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;

use rattanarch_types::ServiceName;
use rattanarch_types::Version;

use crate::Limits;
use crate::Rule;
use crate::ServiceSpec;

/// Routes, services and limits of one version of the configuration; never changed once made.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: Version,
    /// Limits on what callers send.
    pub limits: Limits,
    services: BTreeMap<ServiceName, ServiceSpec>,
    hosts: HashMap<String, HashMap<String, Rc<Rule>>>,
}

impl RouteTable {
    /// A table of `rules` and `services` at `version`. Of two rules with the same host and prefix
    /// the later one counts.
    pub fn new(
        version: Version,
        rules: Vec<Rule>,
        services: impl IntoIterator<Item = ServiceSpec>,
        limits: Limits,
    ) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Rc<Rule>>> = HashMap::new();
        for rule in rules {
            let prefixes = hosts.entry(rule.host.clone()).or_default();
            prefixes.insert(rule.prefix.clone(), Rc::new(rule));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service));
        Self { version, limits, services: services.collect(), hosts }
    }

    /// The rule for `path`, without its query, at `host`, which may bear a port: the one with the
    /// longest prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Rule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        // Every prefix ends with a slash, so that only those places of the path can match.
        let ends = path.char_indices().rev().filter(|(_, letter)| *letter == '/');
        ends.map(|(index, _)| &path[..=index]).find_map(|prefix| prefixes.get(prefix).cloned())
    }

    /// What operators say of `service`.
    pub fn service(&self, service: &str) -> Option<&ServiceSpec> {
        self.services.get(service)
    }

    /// Number of rules.
    pub fn rule_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }
}
