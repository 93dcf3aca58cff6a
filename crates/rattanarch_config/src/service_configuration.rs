//! The part of the firm's configuration that one daemon acts on.

use std::sync::Arc;

use rattanarch_types::Configuration;
use rattanarch_types::ServiceName;
use rattanarch_types::Version;
use rattanarch_types::hash_key;

/// What a peer's packet says of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerVersion {
    /// Nothing newer.
    NotNewer,
    /// A newer version, which changes nothing for this service: it is in force here now.
    Adopted,
    /// A newer version whose content must be asked for.
    Newer,
}

/// The daemon's own service and the data centres, out of the newest configuration that it has
/// learned of.
///
/// With 21,000 changes a day, copies of the whole configuration would cost each daemon more than
/// its 3 KB/s. Most changes concern other services; a digest tells so without a copy.
///
/// ```
/// use rattanarch_config::{ServiceConfiguration, PeerVersion};
/// use rattanarch_types::Configuration;
/// let mut guidance = ServiceConfiguration::new("trade-desk");
/// assert!(guidance.update(&Configuration { version: 3, ..Configuration::default() }));
/// let digest = guidance.digest();
/// assert_eq!(guidance.observe_peer(4, digest), PeerVersion::Adopted);
/// assert_eq!(guidance.observe_peer(5, digest + 1), PeerVersion::Newer);
/// assert_eq!(guidance.version(), 4);
/// ```
#[derive(Clone, Debug)]
pub struct ServiceConfiguration {
    service: ServiceName,
    /// Exact for its version, as far as it reaches; the version never falls.
    content: Arc<Configuration>,
    /// Hash of `content` without its version.
    digest: u64,
}

impl ServiceConfiguration {
    /// No guidance yet, for the daemon of `service`.
    pub fn new(service: impl Into<ServiceName>) -> Self {
        let content = Arc::new(Configuration::default());
        Self { service: service.into(), digest: digest(&content), content }
    }

    /// The content.
    pub fn content(&self) -> &Arc<Configuration> {
        &self.content
    }

    /// Version in force here.
    pub fn version(&self) -> Version {
        self.content.version
    }

    /// Hash of what this daemon acts on; the same for every daemon of the service at a version.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes a configuration, whole or reduced to this service; whether it was newer.
    pub fn update(&mut self, configuration: &Configuration) -> bool {
        if configuration.version <= self.version() {
            return false;
        }
        self.content = Arc::new(reduce(configuration, &self.service));
        self.digest = digest(&self.content);
        true
    }

    /// Hears which version a daemon of the same service has in force, and its digest.
    pub fn observe_peer(&mut self, version: Version, digest: u64) -> PeerVersion {
        if version <= self.version() {
            return PeerVersion::NotNewer;
        }
        if digest != self.digest {
            return PeerVersion::Newer;
        }
        Arc::make_mut(&mut self.content).version = version;
        PeerVersion::Adopted
    }
}

/// Only what the daemons of `service` act on.
fn reduce(configuration: &Configuration, service: &str) -> Configuration {
    let own = configuration.services.get_key_value(service);
    Configuration {
        firm: configuration.firm.clone(),
        version: configuration.version,
        write_id: 0,
        services: own.map(|(name, own)| (name.clone(), own.clone())).into_iter().collect(),
        data_centres: configuration.data_centres.clone(),
        ..Configuration::default()
    }
}

fn digest(content: &Configuration) -> u64 {
    // Ordered maps and sets make the text the same in every process.
    let text = serde_json::to_string(&(&content.firm, &content.services, &content.data_centres));
    hash_key(&text.unwrap_or_default())
}
