//! Calls to the platform, off the control loop's thread.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use rattanarch_ownership::WriteOutcome;
use rattanarch_platform::Object;
use rattanarch_platform::Platform;
use rattanarch_platform::PlatformError;
use rattanarch_platform::PutOutcome;
use rattanarch_platform::configuration_path;
use rattanarch_platform::record_path;
use rattanarch_types::Configuration;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::Version;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc::UnboundedSender;

use crate::process::Clock;
use crate::process::Counters;
use crate::process::Input;

/// How long one watch waits at the platform; the age of what a watcher knows stays about below it.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// How often a member that does not watch looks whether it should.
const IDLE_WAIT: Duration = Duration::from_millis(100);
/// Range of the wait after a failed call, doubled with each failure in a row. With 5,100 members
/// waiting the longest, the platform sees 510 calls a second from two watches each.
const RETRY_WAIT: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(20));

/// What the control loop asks of the platform.
#[derive(Debug)]
enum Job {
    Read,
    Write(Box<Record>),
}

/// Threads that call the platform for the control loop.
#[derive(Debug)]
pub(crate) struct PlatformWorker {
    jobs: mpsc::Sender<Job>,
    watching: Arc<AtomicBool>,
    record: Arc<AtomicU64>,
    configuration: Arc<AtomicU64>,
}

/// What each thread of the worker needs.
#[derive(Clone, Debug)]
struct Caller {
    platform: Platform,
    inputs: UnboundedSender<Input>,
    counters: Arc<Counters>,
    clock: Clock,
    record_path: String,
    configuration_path: String,
}

impl PlatformWorker {
    /// Starts the threads for the record of `service` and the configuration of `firm`; what they
    /// learn goes to `inputs`.
    pub(crate) fn start(
        platform: Platform,
        (firm, service): (&str, &str),
        inputs: UnboundedSender<Input>,
        counters: Arc<Counters>,
    ) -> std::io::Result<Self> {
        let caller = Caller {
            platform,
            inputs,
            counters,
            clock: Clock,
            record_path: record_path(service),
            configuration_path: configuration_path(firm),
        };
        let (jobs, queue) = mpsc::channel();
        let worker = Self {
            jobs,
            watching: Arc::new(AtomicBool::new(true)),
            record: Arc::default(),
            configuration: Arc::default(),
        };
        let job_caller = caller.clone();
        spawn("platform-jobs", move || job_caller.run_jobs(&queue))?;
        worker.start_watch("record-watch", &caller.record_path, &worker.record, &caller)?;
        let path = &caller.configuration_path;
        worker.start_watch("configuration-watch", path, &worker.configuration, &caller)?;
        Ok(worker)
    }

    /// Reads the record.
    pub(crate) fn read(&self) {
        // The thread ends only with the process.
        let _ = self.jobs.send(Job::Read);
    }

    /// Replaces the record on condition of its version.
    pub(crate) fn write(&self, record: Record) {
        let _ = self.jobs.send(Job::Write(Box::new(record)));
    }

    /// Tells the watches whether to watch and from which versions.
    pub(crate) fn follow(&self, watching: bool, record: Version, configuration: Version) {
        self.watching.store(watching, Ordering::Relaxed);
        self.record.fetch_max(record, Ordering::Relaxed);
        self.configuration.fetch_max(configuration, Ordering::Relaxed);
    }

    fn start_watch(
        &self,
        name: &str,
        path: &str,
        after: &Arc<AtomicU64>,
        caller: &Caller,
    ) -> std::io::Result<()> {
        let (caller, path) = (caller.clone(), path.to_owned());
        let (watching, after) = (Arc::clone(&self.watching), Arc::clone(after));
        spawn(name, move || caller.run_watch(&path, &watching, &after))
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name.to_owned()).spawn(run).map(drop)
}

impl Caller {
    fn run_jobs(&self, queue: &mpsc::Receiver<Job>) {
        while let Ok(job) = queue.recv() {
            let input = match job {
                Job::Read => self.read(),
                Job::Write(record) => Some(self.write(&record)),
            };
            let Some(input) = input else { continue };
            if self.inputs.send(input).is_err() {
                return;
            }
        }
    }

    fn read(&self) -> Option<Input> {
        let sent = self.clock.now();
        let object = self.count(self.platform.get(&self.record_path));
        match object.and_then(|object| self.decode(&self.record_path, object)) {
            Ok(record) => Some(Input::RecordRead { record, sent: Some(sent) }),
            Err(error) => {
                log::warn!(reason:% = error; "record not read");
                None
            }
        }
    }

    fn write(&self, record: &Record) -> Input {
        let write_id = record.write_id;
        let outcome = match self.try_write(record) {
            Ok(outcome) => outcome,
            Err(PlatformError::NotExecuted { .. } | PlatformError::Refused { .. }) => {
                WriteOutcome::Failed
            }
            Err(error) => {
                log::warn!(version = record.version, reason:% = error; "record write unsettled");
                WriteOutcome::Unknown
            }
        };
        Input::Written { write_id, outcome }
    }

    fn try_write(&self, record: &Record) -> Result<WriteOutcome, PlatformError> {
        let path = &self.record_path;
        let value = serde_json::to_value(record).map_err(|error| PlatformError::NotExecuted {
            path: path.clone(),
            reason: error.to_string(),
        })?;
        match self.count(self.platform.put(path, record.version - 1, &value))? {
            PutOutcome::Accepted(_) => Ok(WriteOutcome::Accepted),
            PutOutcome::Conflict(object) => Ok(WriteOutcome::Conflict(self.decode(path, object)?)),
        }
    }

    fn run_watch(&self, path: &str, watching: &AtomicBool, after: &AtomicU64) {
        let mut wait = RETRY_WAIT.0;
        loop {
            if !watching.load(Ordering::Relaxed) {
                std::thread::sleep(IDLE_WAIT);
                continue;
            }
            let known = after.load(Ordering::Relaxed);
            match self.watch(path, known) {
                Ok(Some(version)) => {
                    after.fetch_max(version, Ordering::Relaxed);
                    wait = RETRY_WAIT.0;
                }
                Ok(None) => wait = RETRY_WAIT.0,
                Err(error) => {
                    log::warn!(path = path, reason:% = error; "watch failed");
                    std::thread::sleep(wait);
                    wait = (wait * 2).min(RETRY_WAIT.1);
                }
            }
            if self.inputs.is_closed() {
                return;
            }
        }
    }

    /// Waits for a version above `known` and hands it on; `None` when none came.
    fn watch(&self, path: &str, known: Version) -> Result<Option<Version>, PlatformError> {
        let sent = self.clock.now();
        let answer = self.count(self.platform.watch(path, known, WATCH_WAIT))?;
        let Some(object) = answer else {
            self.confirm(path, known);
            return Ok(None);
        };
        let version = object.version;
        let input = if path == self.record_path {
            // The read may have waited: its send says nothing of how fresh it is now.
            let record = self.decode(path, object)?;
            Input::RecordRead { record, sent: None }
        } else {
            let configuration: Configuration = self.decode(path, object)?;
            Input::Configuration { configuration, read: Some(sent) }
        };
        let _ = self.inputs.send(input);
        self.confirm(path, version);
        Ok(Some(version))
    }

    fn confirm(&self, path: &str, version: Version) {
        let at: Moment = self.clock.now();
        let record = path == self.record_path;
        let _ = self.inputs.send(Input::Confirmed { record, version, at });
    }

    /// Reads an object's value; an absent one is the default. Its version must be the object's.
    fn decode<T: Default + DeserializeOwned>(
        &self,
        path: &str,
        object: Object,
    ) -> Result<T, PlatformError> {
        if object.version == 0 {
            return Ok(T::default());
        }
        serde_json::from_value(object.value).map_err(|error| {
            Counters::add(&self.counters.platform_failures);
            PlatformError::Malformed { path: path.to_owned(), reason: error.to_string() }
        })
    }

    fn count<T>(&self, result: Result<T, PlatformError>) -> Result<T, PlatformError> {
        Counters::add(&self.counters.platform_calls);
        if result.is_err() {
            Counters::add(&self.counters.platform_failures);
        }
        result
    }
}
