//! Reads configurations and records, from the platform or as last known.

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

use crate::operator::object_cache::ObjectCache;
use crate::operator::object_cache::ObservedObject;
use crate::process::Clock;
use crate::version::Views;

/// Most reads of a configuration until one returns at least the known version.
const MAX_READS: usize = 4;
/// Pause between these reads.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// Reads configurations and records from the platform, and remembers the newest versions for when it is down.
#[derive(Debug)]
pub(crate) struct ObjectReader {
    platform: Platform,
    views: Views,
    configurations: ObjectCache<Configuration>,
    records: ObjectCache<Record>,
}

/// Why an object could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    /// The call to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The stored value is not of the type that its path implies.
    #[error("object {path:?} is malformed: {reason}")]
    Malformed {
        /// Path of the object.
        path: String,
        /// Error of the parser, or why a page could not be stored.
        reason: String,
    },
    /// The platform keeps returning a version below one that it has returned before.
    #[error("platform returned an outdated version {version} of {path:?}")]
    Outdated {
        /// Path of the object.
        path: String,
        /// Version that it returned.
        version: Version,
    },
}

impl ObjectReader {
    pub(crate) fn new(platform: Platform, views: Views) -> Self {
        let (configurations, records) = (ObjectCache::default(), ObjectCache::default());
        Self { platform, views, configurations, records }
    }

    pub(crate) fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Reads the firm's configuration from the platform, never from a peer: only the platform's copy has the whole
    /// audit trail. The version is 0 if the firm has none.
    pub(crate) fn read_configuration(&self, firm: &str) -> Result<Configuration, ReadError> {
        let path = configuration_path(firm);
        let mut version = 0;
        for _ in 0..MAX_READS {
            let object = self.platform.get(&path)?;
            version = object.version;
            if version >= self.configurations.version(firm) {
                return self.parse_configuration(firm, object);
            }
            sleep(READ_PAUSE);
        }
        Err(ReadError::Outdated { path, version })
    }

    /// Parses an object returned by the platform as the firm's configuration, and caches it.
    pub(crate) fn parse_configuration(
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
        self.cache_configuration(&configuration);
        Ok(configuration)
    }

    /// Caches a configuration that the platform is known to have stored.
    pub(crate) fn cache_configuration(&self, configuration: &Configuration) {
        let value = Arc::new(configuration.clone());
        self.configurations.insert(&configuration.firm, value.version, value, Clock.now());
    }

    /// Newest configuration of the firm that the platform is known to have stored.
    pub(crate) fn cached_configuration(&self, firm: &str) -> Option<Arc<Configuration>> {
        self.configurations.get(firm).map(|cached| cached.value)
    }

    /// The firm's configuration, read now or as last known to this daemon.
    pub(crate) fn observe_configuration(&self, firm: &str) -> ObservedObject<Configuration> {
        let read_error = match self.read_configuration(firm) {
            Ok(configuration) => {
                let version = configuration.version;
                let value = Arc::new(configuration);
                return ObservedObject {
                    value,
                    version,
                    confirmed_at: Some(Clock.now()),
                    read_error: None,
                };
            }
            Err(error) => Some(error.to_string()),
        };
        let view = self.views.current();
        let cached = self.configurations.get(firm);
        let newer_in_view = view.configuration.firm == firm
            && cached.as_ref().is_none_or(|cached| cached.version < view.configuration.version);
        if newer_in_view {
            let value = Arc::new(overlay_view(cached.as_ref(), &view.configuration));
            return ObservedObject {
                version: value.version,
                value,
                confirmed_at: view.confirmed_at,
                read_error,
            };
        }
        let empty = || Configuration { firm: firm.to_owned(), ..Configuration::default() };
        let absent = || ObservedObject {
            value: Arc::new(empty()),
            version: 0,
            confirmed_at: None,
            read_error: None,
        };
        ObservedObject { read_error, ..cached.unwrap_or_else(absent) }
    }

    /// Records of the services in `configuration`, read now or as last known. If the configuration could not be read,
    /// the records are not read either: each call may take a whole timeout.
    pub(crate) fn observe_records(
        &self,
        configuration: &ObservedObject<Configuration>,
    ) -> Vec<ObservedObject<Record>> {
        let record = |service: &String| match &configuration.read_error {
            None => self.observe_record(service),
            Some(error) => self.last_known_record(service, Some(error.clone())),
        };
        configuration.value.services.keys().map(record).collect()
    }

    /// The service's record, read now or as last known to this daemon.
    pub(crate) fn observe_record(&self, service: &str) -> ObservedObject<Record> {
        match self.read_record(service) {
            Ok(record) => record,
            Err(error) => self.last_known_record(service, Some(error.to_string())),
        }
    }

    /// The service's record as last known to this daemon, since `read_error` prevented a read.
    pub(crate) fn last_known_record(
        &self,
        service: &str,
        read_error: Option<String>,
    ) -> ObservedObject<Record> {
        let view = self.views.current();
        let cached = self.records.get(service);
        let record = &view.serving.record;
        let newer_in_view = record.service == service
            && cached.as_ref().is_none_or(|cached| cached.version < record.version);
        if newer_in_view {
            let value = Arc::clone(record);
            return ObservedObject {
                version: value.version,
                value,
                confirmed_at: view.confirmed_at,
                read_error,
            };
        }
        let absent = || ObservedObject {
            value: Arc::new(Record::new(service, 0)),
            version: 0,
            confirmed_at: None,
            read_error: None,
        };
        ObservedObject { read_error, ..cached.unwrap_or_else(absent) }
    }

    /// Reads the service's record from the platform. The version is 0 if the service has none.
    pub(crate) fn read_record(&self, service: &str) -> Result<ObservedObject<Record>, ReadError> {
        let path = record_path(service);
        let object = self.platform.get(&path)?;
        let version = object.version;
        if version == 0 {
            let value = Arc::new(Record::new(service, 0));
            return Ok(ObservedObject {
                value,
                version,
                confirmed_at: Some(Clock.now()),
                read_error: None,
            });
        }
        let value = Arc::new(decode::<Record>(&path, object)?);
        self.records.insert(service, version, value, Clock.now());
        self.records.get(service).ok_or(ReadError::Outdated { path, version })
    }
}

/// The cached configuration, with the parts that the view has in a newer version.
fn overlay_view(
    cached: Option<&ObservedObject<Configuration>>,
    view: &Configuration,
) -> Configuration {
    let mut configuration = cached.map(|cached| (*cached.value).clone()).unwrap_or_default();
    configuration.firm.clone_from(&view.firm);
    configuration.version = view.version;
    configuration.data_centres.clone_from(&view.data_centres);
    configuration.services.extend(view.services.clone());
    configuration
}

/// Parses the value of the object at `path`.
pub(crate) fn decode<T: DeserializeOwned>(path: &str, object: Object) -> Result<T, ReadError> {
    serde_json::from_value(object.value)
        .map_err(|error| ReadError::Malformed { path: path.to_owned(), reason: error.to_string() })
}
