//! What a run of load is.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rattanarch_types::ServiceName;

use crate::load::Firm;

/// Addresses that requests are sent to.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    any: Vec<SocketAddr>,
    services: BTreeMap<ServiceName, Vec<SocketAddr>>,
}

/// A text that names no targets.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("targets {0:?} are not [SERVICE=]ADDRESS:PORT[,ADDRESS:PORT…]")]
pub struct TargetError(pub String);

impl Targets {
    /// Adds `[service=]address:port[,address:port…]`; without a service for all services.
    ///
    /// # Errors
    /// [`TargetError`]
    pub fn add(&mut self, text: &str) -> Result<(), TargetError> {
        let (service, list) = match text.split_once('=') {
            Some((service, list)) => (Some(service), list),
            None => (None, text),
        };
        let addresses: Result<Vec<SocketAddr>, _> = list.split(',').map(str::parse).collect();
        let addresses = addresses.map_err(|_| TargetError(text.to_owned()))?;
        match service {
            Some(service) => self.services.entry(service.to_owned()).or_default().extend(addresses),
            None => self.any.extend(addresses),
        }
        Ok(())
    }

    /// Adds the targets of a service.
    pub fn with_service(mut self, service: &str, addresses: Vec<SocketAddr>) -> Self {
        self.services.entry(service.to_owned()).or_default().extend(addresses);
        self
    }

    /// Addresses for requests of `service`; empty when there are none.
    pub(crate) fn of(&self, service: &str) -> &[SocketAddr] {
        self.services.get(service).unwrap_or(&self.any)
    }
}

/// What a run of load is.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Where requests go.
    pub targets: Targets,
    /// Whose callers are imitated.
    pub firm: Firm,
    /// Average requests a second.
    pub rate: f64,
    /// How long requests arrive.
    pub duration: Duration,
    /// Feeds every choice.
    pub seed: u64,
    /// Longest time of one attempt, from its send to the last byte of its answer.
    pub timeout: Duration,
    /// Most attempts for one request; at least 1.
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
    /// Sets where requests go.
    pub fn with_targets(mut self, targets: Targets) -> Self {
        self.targets = targets;
        self
    }

    /// Sets whose callers are imitated.
    pub fn with_firm(mut self, firm: Firm) -> Self {
        self.firm = firm;
        self
    }

    /// Sets the average requests a second.
    pub fn with_rate(mut self, rate: f64) -> Self {
        self.rate = rate;
        self
    }

    /// Sets how long requests arrive.
    pub fn with_duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Sets what feeds every choice.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the longest time of one attempt.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}
