//! Settings of a load run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rattanarch_types::ServiceName;

use crate::load::Firm;

/// Target addresses of requests.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// Addresses for services that are not in `services`.
    default_addresses: Vec<SocketAddr>,
    services: BTreeMap<ServiceName, Vec<SocketAddr>>,
}

/// The text is not a list of targets.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("targets {0:?} are not [SERVICE=]ADDRESS:PORT[,ADDRESS:PORT…]")]
pub struct TargetError(pub String);

impl Targets {
    /// Adds the targets `[service=]address:port[,address:port…]`; without a service, they apply to every
    /// service that has no targets of its own.
    ///
    /// # Errors
    /// Returns [`TargetError`] if an address is malformed.
    pub fn add(&mut self, text: &str) -> Result<(), TargetError> {
        let (service, list) = match text.split_once('=') {
            Some((service, list)) => (Some(service), list),
            None => (None, text),
        };
        let addresses: Result<Vec<SocketAddr>, _> = list.split(',').map(str::parse).collect();
        let addresses = addresses.map_err(|_| TargetError(text.to_owned()))?;
        match service {
            Some(service) => self.services.entry(service.to_owned()).or_default().extend(addresses),
            None => self.default_addresses.extend(addresses),
        }
        Ok(())
    }

    /// Adds the targets of a service.
    pub fn with_service(mut self, service: &str, addresses: Vec<SocketAddr>) -> Self {
        self.services.entry(service.to_owned()).or_default().extend(addresses);
        self
    }

    /// Returns the addresses for requests of `service`.
    pub(crate) fn for_service(&self, service: &str) -> &[SocketAddr] {
        self.services.get(service).unwrap_or(&self.default_addresses)
    }
}

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Target addresses.
    pub targets: Targets,
    /// Firm whose callers are simulated.
    pub firm: Firm,
    /// Average number of requests per second.
    pub rate: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Timeout of one attempt, from sending the request to the last byte of the response.
    pub timeout: Duration,
    /// Maximum number of attempts for one request; at least 1.
    pub attempts: u32,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            targets: Targets::default(),
            firm: Firm::Coop,
            rate: 200.0,
            duration: Duration::from_secs(10),
            seed: 1,
            timeout: Duration::from_secs(5),
            attempts: 8,
        }
    }
}

impl LoadSettings {
    /// Sets the target addresses.
    pub fn with_targets(mut self, targets: Targets) -> Self {
        self.targets = targets;
        self
    }

    /// Sets the firm whose callers are simulated.
    pub fn with_firm(mut self, firm: Firm) -> Self {
        self.firm = firm;
        self
    }

    /// Sets the average number of requests per second.
    pub fn with_rate(mut self, rate: f64) -> Self {
        self.rate = rate;
        self
    }

    /// Sets the time for which requests are sent.
    pub fn with_duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Sets the seed of all random choices.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the timeout of one attempt.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}
