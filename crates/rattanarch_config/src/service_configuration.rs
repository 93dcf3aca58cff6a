//! The part of a firm's configuration that the daemons of one service act on.

use std::sync::Arc;

use rattanarch_types::Configuration;
use rattanarch_types::ServiceName;
use rattanarch_types::Version;
use rattanarch_types::hash_key;

/// Result of comparing a peer's configuration version with this daemon's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerVersion {
    /// The peer's version is not newer.
    NotNewer,
    /// A newer version with the same content for this service: it is now in force here too.
    Adopted,
    /// A newer version whose content has to be fetched.
    Newer,
}

/// The daemon's own service and the data centres, as of the newest configuration that the daemon knows.
///
/// With 21,000 changes a day, transferring the whole configuration each time would take more than the 3 KB/s that a
/// daemon may use. Most changes concern other services, and the digest tells so without a transfer.
///
/// ```
/// use rattanarch_config::{PeerVersion, ServiceConfiguration};
/// use rattanarch_types::Configuration;
/// let mut configuration = ServiceConfiguration::new("trade-desk");
/// assert!(configuration.update(&Configuration { version: 3, ..Configuration::default() }));
/// let digest = configuration.digest();
/// assert_eq!(configuration.observe_peer(4, digest), PeerVersion::Adopted);
/// assert_eq!(configuration.observe_peer(5, digest + 1), PeerVersion::Newer);
/// assert_eq!(configuration.version(), 4);
/// ```
#[derive(Clone, Debug)]
pub struct ServiceConfiguration {
    service: ServiceName,
    /// The reduced configuration, exact for its version; the version never decreases.
    content: Arc<Configuration>,
    /// Hash of `content` without its version.
    digest: u64,
}

impl ServiceConfiguration {
    /// An empty configuration at version 0, for a daemon of `service`.
    pub fn new(service: impl Into<ServiceName>) -> Self {
        let content = Arc::new(Configuration::default());
        Self { service: service.into(), digest: digest(&content), content }
    }

    /// The reduced configuration.
    pub fn content(&self) -> &Arc<Configuration> {
        &self.content
    }

    /// Version in force here.
    pub fn version(&self) -> Version {
        self.content.version
    }

    /// Hash of the content without its version; equal for all daemons of the service at the same version.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Adopts `configuration`, whole or reduced to this service, if it is newer; returns whether it was.
    pub fn update(&mut self, configuration: &Configuration) -> bool {
        if configuration.version <= self.version() {
            return false;
        }
        self.content = Arc::new(reduce(configuration, &self.service));
        self.digest = digest(&self.content);
        true
    }

    /// Compares with the version and digest of another daemon of this service; adopts a newer version whose digest is
    /// the same.
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

/// Keeps only what the daemons of `service` act on.
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
    // The maps and sets are ordered, so the text is the same in every process.
    let text = serde_json::to_string(&(&content.firm, &content.services, &content.data_centres));
    hash_key(&text.unwrap_or_default())
}
