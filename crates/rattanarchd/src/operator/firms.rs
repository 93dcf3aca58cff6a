//! Reads of configurations and records.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use rattanarch_platform::Object;
use rattanarch_platform::Platform;
use rattanarch_platform::PlatformError;
use rattanarch_platform::configuration_path;
use rattanarch_platform::record_path;
use rattanarch_types::Configuration;
use rattanarch_types::Record;
use rattanarch_types::Version;
use serde::de::DeserializeOwned;

use crate::operator::known::Known;
use crate::operator::known::Look;
use crate::process::Clock;
use crate::version::Views;

/// Reads of an object until one is at least as new as the known one.
const READS: usize = 4;
/// Pause between two of these reads.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// Configurations and records, from the platform or as last known.
#[derive(Debug)]
pub(crate) struct Firms {
    platform: Platform,
    views: Views,
    configurations: Known<Configuration>,
    records: Known<Record>,
}

/// Why an object could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    /// The platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The stored value is not what its path says.
    #[error("object {path:?} is malformed: {reason}")]
    Malformed {
        /// Path of the object.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The platform keeps answering with a version below one that it has shown.
    #[error("platform answers with an outdated version {version} of {path:?}")]
    Outdated {
        /// Path of the object.
        path: String,
        /// Version that it answered with.
        version: Version,
    },
}

impl Firms {
    pub(crate) fn new(platform: Platform, views: Views) -> Self {
        let (configurations, records) = (Known::default(), Known::default());
        Self { platform, views, configurations, records }
    }

    pub(crate) fn platform(&self) -> &Platform {
        &self.platform
    }

    /// The configuration that stands, from the platform, never from a peer: only that copy has
    /// the whole trail. Version 0 when the firm has none.
    pub(crate) fn read_configuration(&self, firm: &str) -> Result<Configuration, ReadError> {
        let path = configuration_path(firm);
        let mut version = 0;
        for _ in 0..READS {
            let object = self.platform.get(&path)?;
            version = object.version;
            if version >= self.configurations.version(firm) {
                return self.take_configuration(firm, object);
            }
            sleep(READ_PAUSE);
        }
        Err(ReadError::Outdated { path, version })
    }

    /// Reads an answer of the platform as the firm's configuration.
    pub(crate) fn take_configuration(
        &self,
        firm: &str,
        object: Object,
    ) -> Result<Configuration, ReadError> {
        if object.version == 0 {
            return Ok(Configuration { firm: firm.to_owned(), ..Configuration::default() });
        }
        let version = object.version;
        let mut configuration: Configuration = decode(&configuration_path(firm), object)?;
        configuration.version = version;
        self.learn_configuration(&configuration);
        Ok(configuration)
    }

    /// Takes a configuration that the platform is known to have stored.
    pub(crate) fn learn_configuration(&self, configuration: &Configuration) {
        let value = Arc::new(configuration.clone());
        self.configurations.learn(&configuration.firm, value.version, value, Clock.now());
    }

    /// The newest configuration of the firm that the platform is known to have stored.
    pub(crate) fn known_configuration(&self, firm: &str) -> Option<Arc<Configuration>> {
        self.configurations.get(firm).map(|look| look.value)
    }

    /// The firm's configuration for a query: read now, or as last known to this daemon.
    pub(crate) fn look_configuration(&self, firm: &str) -> Look<Configuration> {
        let fault = match self.read_configuration(firm) {
            Ok(configuration) => {
                let version = configuration.version;
                let value = Arc::new(configuration);
                return Look { value, version, sure: Some(Clock.now()), fault: None };
            }
            Err(error) => Some(error.to_string()),
        };
        let view = self.views.current();
        let held = self.configurations.get(firm);
        let newer_in_view = view.configuration.firm == firm
            && held.as_ref().is_none_or(|held| held.version < view.configuration.version);
        if newer_in_view {
            let value = Arc::new(overlay(held.as_ref(), &view.configuration));
            return Look { version: value.version, value, sure: view.confirmed_at, fault };
        }
        let unknown = || Configuration { firm: firm.to_owned(), ..Configuration::default() };
        let nothing = || Look { value: Arc::new(unknown()), version: 0, sure: None, fault: None };
        Look { fault, ..held.unwrap_or_else(nothing) }
    }

    /// Records of the firm's services. If the configuration could not be read, the platform is not
    /// asked for each of them: every call may take a whole timeout.
    pub(crate) fn look_records(&self, look: &Look<Configuration>) -> Vec<Look<Record>> {
        let record = |service: &String| match &look.fault {
            None => self.look_record(service),
            Some(fault) => self.recall_record(service, Some(fault.clone())),
        };
        look.value.services.keys().map(record).collect()
    }

    /// The service's record for a query: read now, or as last known to this daemon.
    pub(crate) fn look_record(&self, service: &str) -> Look<Record> {
        match self.read_record(service) {
            Ok(look) => look,
            Err(error) => self.recall_record(service, Some(error.to_string())),
        }
    }

    /// The service's record as last known to this daemon, because of `fault`.
    pub(crate) fn recall_record(&self, service: &str, fault: Option<String>) -> Look<Record> {
        let view = self.views.current();
        let held = self.records.get(service);
        let record = &view.serving.record;
        let newer_in_view = record.service == service
            && held.as_ref().is_none_or(|held| held.version < record.version);
        if newer_in_view {
            let value = Arc::clone(record);
            return Look { version: value.version, value, sure: view.confirmed_at, fault };
        }
        let nothing = || Look {
            value: Arc::new(Record::new(service, 0)),
            version: 0,
            sure: None,
            fault: None,
        };
        Look { fault, ..held.unwrap_or_else(nothing) }
    }

    /// The service's record, from the platform. Version 0 when the service has none.
    pub(crate) fn read_record(&self, service: &str) -> Result<Look<Record>, ReadError> {
        let path = record_path(service);
        let object = self.platform.get(&path)?;
        let version = object.version;
        if version == 0 {
            let value = Arc::new(Record::new(service, 0));
            return Ok(Look { value, version, sure: Some(Clock.now()), fault: None });
        }
        let value = Arc::new(decode::<Record>(&path, object)?);
        self.records.learn(service, version, value, Clock.now());
        self.records.get(service).ok_or(ReadError::Outdated { path, version })
    }
}

/// What was held, with what the view knows better.
fn overlay(held: Option<&Look<Configuration>>, view: &Configuration) -> Configuration {
    let mut configuration = held.map(|held| (*held.value).clone()).unwrap_or_default();
    configuration.firm.clone_from(&view.firm);
    configuration.version = view.version;
    configuration.data_centres.clone_from(&view.data_centres);
    configuration.services.extend(view.services.clone());
    configuration
}

pub(crate) fn decode<T: DeserializeOwned>(path: &str, object: Object) -> Result<T, ReadError> {
    serde_json::from_value(object.value)
        .map_err(|error| ReadError::Malformed { path: path.to_owned(), reason: error.to_string() })
}
