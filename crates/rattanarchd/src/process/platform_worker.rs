//! Threads that call the platform for the control loop.

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

/// Time for which the platform holds a watch request without a change; the state of a watcher is hardly ever older.
const WATCH_TIME: Duration = Duration::from_secs(5);
/// Interval at which a paused watch checks whether to resume.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Range of the delay after a failed watch; it doubles with each consecutive failure. At the maximum, two watches of
/// each of 5,100 members make 510 calls a second to the platform.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(20));

/// Call to the platform that the control loop has requested.
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
    record_version: Arc<AtomicU64>,
    configuration_version: Arc<AtomicU64>,
}

/// State of each thread of the worker.
#[derive(Clone, Debug)]
struct WorkerThread {
    platform: Platform,
    inputs: UnboundedSender<Input>,
    counters: Arc<Counters>,
    clock: Clock,
    record_path: String,
    configuration_path: String,
}

impl PlatformWorker {
    /// Starts the threads for the record of `service` and the configuration of `firm`; they send results to `inputs`.
    ///
    /// # Errors
    /// If a thread can't be started.
    pub(crate) fn start(
        platform: Platform,
        (firm, service): (&str, &str),
        inputs: UnboundedSender<Input>,
        counters: Arc<Counters>,
    ) -> std::io::Result<Self> {
        let thread = WorkerThread {
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
            record_version: Arc::default(),
            configuration_version: Arc::default(),
        };
        let job_thread = thread.clone();
        spawn("platform-jobs", move || job_thread.run_jobs(&queue))?;
        worker.start_watch("record-watch", &thread.record_path, &worker.record_version, &thread)?;
        let path = &thread.configuration_path;
        worker.start_watch("configuration-watch", path, &worker.configuration_version, &thread)?;
        Ok(worker)
    }

    /// Reads the record; the result arrives as [`Input::RecordRead`].
    pub(crate) fn read(&self) {
        // Fails only when the process ends, since the thread runs until then.
        let _ = self.jobs.send(Job::Read);
    }

    /// Replaces the stored record if its version is the one before `record`'s; the result arrives as
    /// [`Input::Written`].
    pub(crate) fn write(&self, record: Record) {
        let _ = self.jobs.send(Job::Write(Box::new(record)));
    }

    /// Resumes or pauses the watches, and sets the versions above which they report changes.
    pub(crate) fn set_watching(&self, watching: bool, record: Version, configuration: Version) {
        self.watching.store(watching, Ordering::Relaxed);
        self.record_version.fetch_max(record, Ordering::Relaxed);
        self.configuration_version.fetch_max(configuration, Ordering::Relaxed);
    }

    fn start_watch(
        &self,
        name: &str,
        path: &str,
        known_version: &Arc<AtomicU64>,
        thread: &WorkerThread,
    ) -> std::io::Result<()> {
        let (thread, path) = (thread.clone(), path.to_owned());
        let (watching, known_version) = (Arc::clone(&self.watching), Arc::clone(known_version));
        spawn(name, move || thread.run_watch(&path, &watching, &known_version))
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name.to_owned()).spawn(run).map(drop)
}

impl WorkerThread {
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
                log::warn!(reason:% = error; "cannot read record");
                None
            }
        }
    }

    fn write(&self, record: &Record) -> Input {
        let write_id = record.write_id;
        let outcome = match self.put_record(record) {
            Ok(outcome) => outcome,
            Err(PlatformError::NotExecuted { .. } | PlatformError::Refused { .. }) => {
                WriteOutcome::Failed
            }
            Err(error) => {
                log::warn!(version = record.version, reason:% = error; "record write outcome unknown");
                WriteOutcome::Unknown
            }
        };
        Input::Written { write_id, outcome }
    }

    fn put_record(&self, record: &Record) -> Result<WriteOutcome, PlatformError> {
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

    fn run_watch(&self, path: &str, watching: &AtomicBool, known_version: &AtomicU64) {
        let mut delay = RETRY_DELAY.0;
        loop {
            if !watching.load(Ordering::Relaxed) {
                std::thread::sleep(PAUSE_CHECK_INTERVAL);
                continue;
            }
            let known = known_version.load(Ordering::Relaxed);
            match self.watch(path, known) {
                Ok(Some(version)) => {
                    known_version.fetch_max(version, Ordering::Relaxed);
                    delay = RETRY_DELAY.0;
                }
                Ok(None) => delay = RETRY_DELAY.0,
                Err(error) => {
                    log::warn!(path = path, reason:% = error; "watch failed");
                    std::thread::sleep(delay);
                    delay = (delay * 2).min(RETRY_DELAY.1);
                }
            }
            if self.inputs.is_closed() {
                return;
            }
        }
    }

    /// Waits for a version above `known`, sends it to the control loop and returns its number; `None` after [`WATCH_TIME`]
    /// without one.
    fn watch(&self, path: &str, known: Version) -> Result<Option<Version>, PlatformError> {
        let sent = self.clock.now();
        let response = self.count(self.platform.watch(path, known, WATCH_TIME))?;
        let Some(object) = response else {
            self.confirm(path, known);
            return Ok(None);
        };
        let version = object.version;
        let input = if path == self.record_path {
            // The request may have been sent long before, so its time says nothing about the age of the record.
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

    /// Tells the control loop that `version` is current.
    fn confirm(&self, path: &str, version: Version) {
        let at: Moment = self.clock.now();
        let record = path == self.record_path;
        let _ = self.inputs.send(Input::Confirmed { record, version, at });
    }

    /// Decodes the value of an object; an absent object has the default value. The version in the value is expected to
    /// be that of the object.
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

    /// Counts a call, and its failure.
    fn count<T>(&self, result: Result<T, PlatformError>) -> Result<T, PlatformError> {
        Counters::add(&self.counters.platform_calls);
        if result.is_err() {
            Counters::add(&self.counters.platform_failures);
        }
        result
    }
}
