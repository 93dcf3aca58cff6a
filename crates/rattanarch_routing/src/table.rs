//! The routing table of one configuration version.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;

use rattanarch_accounts::AccountTable;
use rattanarch_types::ServiceName;
use rattanarch_types::Version;

use crate::Limits;
use crate::Rule;
use crate::ServiceSpec;
use crate::prefix_tree::PrefixTree;

/// Routes, services and limits of one version of the configuration; immutable.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: Version,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Client accounts; `None` if requests need no key.
    pub accounts: Option<AccountTable>,
    services: BTreeMap<ServiceName, ServiceSpec>,
    hosts: HashMap<String, PrefixTree>,
}

impl RouteTable {
    /// Creates the table of `version`. Of two rules with the same host and prefix, the later one wins.
    pub fn new(
        version: Version,
        rules: Vec<Rule>,
        services: impl IntoIterator<Item = ServiceSpec>,
        limits: Limits,
    ) -> Self {
        let mut hosts: HashMap<String, PrefixTree> = HashMap::new();
        for rule in rules {
            hosts.entry(rule.host.clone()).or_default().insert(Rc::new(rule));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service));
        Self { version, limits, accounts: None, services: services.collect(), hosts }
    }

    /// This table with client accounts, so that requests need a key.
    pub fn with_accounts(self, accounts: AccountTable) -> Self {
        Self { accounts: Some(accounts), ..self }
    }

    /// The rule with the longest prefix of `path` at `host`. `path` has no query; `host` may include a port.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Rule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        prefixes.find(path).cloned()
    }

    /// The host of all rules; `None` if they have different ones, or if there is no rule.
    pub fn only_host(&self) -> Option<&str> {
        let mut hosts = self.hosts.keys();
        hosts.next().filter(|_| hosts.next().is_none()).map(String::as_str)
    }

    /// Configuration of `service`.
    pub fn service(&self, service: &str) -> Option<&ServiceSpec> {
        self.services.get(service)
    }

    /// Number of rules.
    pub fn rule_count(&self) -> usize {
        self.hosts.values().map(PrefixTree::len).sum()
    }
}
