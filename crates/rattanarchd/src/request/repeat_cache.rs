//! Responses to requests with an idempotency key, kept for repeats.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use rattanarch_admission::Completion;
use rattanarch_admission::IdempotencyCache;
use rattanarch_admission::Lookup;
use rattanarch_types::Moment;

use crate::request::OutgoingBody;
use crate::request::RequestError;
use crate::request::body;
use crate::request::outcome::Outcome;

/// Maximum number of cached requests.
const MAX_ENTRIES: usize = 4_096;
/// Time for which a request is cached.
const MAX_AGE: Duration = Duration::from_secs(600);
/// Maximum body of a cached response; with [`MAX_ENTRIES`], 16 MiB in total.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// Retry delay for a repeat whose first request is still running.
const RUNNING_RETRY: Duration = Duration::from_millis(100);

/// Cache of responses to requests with an idempotency key, which are returned to their repeats.
///
/// Guarantee: a repeat gets the first response or a correct verdict, and does not run again. The
/// guarantee has these limits:
///
/// - Process: it holds within one boot of the daemon that owns the key. Requests that ran at an
///   earlier owner are not known.
/// - Age and capacity: it holds for [`MAX_AGE`] and the newest [`MAX_ENTRIES`] requests.
/// - Unkeyed services: it holds only for repeats that reach the same instance.
/// - Size: a request whose body is too large to be buffered is not cached. If the response is
///   larger than [`MAX_BODY_BYTES`], its repeats get "may have run".
///
/// The upstream receives the idempotency key too. Beyond these limits, only the upstream can
/// recognize a repeat.
#[derive(Debug)]
pub(crate) struct RepeatCache {
    /// Time zero of the [`Moment`]s passed to the policy.
    origin: Instant,
    cache: Mutex<IdempotencyCache<Arc<StoredResponse>>>,
}

/// Identity of an operation.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    /// Key of the request and its idempotency key.
    pub(crate) name: String,
    /// Hash of the request's content, which detects a different request with the same name.
    pub(crate) fingerprint: u64,
}

#[derive(Debug)]
struct StoredResponse {
    status: StatusCode,
    fields: HeaderMap,
    body: Bytes,
}

/// What to do with a request that carries an idempotency key.
pub(crate) enum BeginResult<'a> {
    /// The request is the first with its key and has to run.
    First(Claim<'a>),
    /// The request is a repeat, and this is the first response.
    Repeated(Response<OutgoingBody>),
}

/// The first run of an operation. If it is dropped before [`Claim::finish`] has ended, the
/// operation counts as possibly run if the request was sent, else as not run.
#[derive(Debug)]
pub(crate) struct Claim<'a> {
    cache: &'a RepeatCache,
    name: String,
    sent: AtomicBool,
    finished: bool,
}

impl Operation {
    /// The operation of a request for `key` with the idempotency key `idempotency`.
    pub(crate) fn new(key: &str, idempotency: &str, content: (&str, &str, &[u8])) -> Self {
        let mut hasher = DefaultHasher::new();
        content.hash(&mut hasher);
        Self { name: format!("{key}\n{idempotency}"), fingerprint: hasher.finish() }
    }
}

impl RepeatCache {
    pub(crate) fn new() -> Self {
        let cache = IdempotencyCache::new(Moment::ZERO, MAX_ENTRIES, MAX_AGE);
        Self { origin: Instant::now(), cache: Mutex::new(cache) }
    }

    /// Looks the operation up, and stores a new one as running.
    ///
    /// # Errors
    /// [`RequestError::RepeatRunning`], [`RequestError::RepeatUnknown`] or
    /// [`RequestError::RepeatMismatch`] for a repeat without a known response, and
    /// [`RequestError::Overloaded`] if the cache is full of running requests.
    pub(crate) fn begin(&self, operation: Operation) -> Result<BeginResult<'_>, RequestError> {
        let Operation { name, fingerprint } = operation;
        let found = self.lock().begin(self.origin.elapsed(), &name, fingerprint);
        match found {
            Lookup::New => {
                let sent = AtomicBool::new(false);
                Ok(BeginResult::First(Claim { cache: self, name, sent, finished: false }))
            }
            Lookup::Responded(stored) => Ok(BeginResult::Repeated(stored.to_response())),
            Lookup::Running => Err(RequestError::RepeatRunning { retry_after: RUNNING_RETRY }),
            Lookup::MayHaveRun => Err(RequestError::RepeatUnknown),
            Lookup::Mismatch => Err(RequestError::RepeatMismatch),
            Lookup::Full => Err(RequestError::Overloaded { retry_after: RUNNING_RETRY }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, IdempotencyCache<Arc<StoredResponse>>> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Claim<'_> {
    /// Records that the request is about to be sent.
    pub(crate) fn mark_sent(&self) {
        self.sent.store(true, Ordering::Relaxed);
    }

    /// Caches a small response, and returns the outcome.
    pub(crate) async fn finish(mut self, outcome: Outcome) -> Outcome {
        let head = match outcome {
            Ok(head) => head,
            Err(error) => {
                // Only a certain refusal frees the key. Otherwise the drop records whether the
                // request was sent.
                if error.verdict().may_retry(false) {
                    self.end(Completion::NotRun);
                }
                return Err(error);
            }
        };
        let length = head.body().size_hint().upper().unwrap_or(u64::MAX);
        if length > MAX_BODY_BYTES as u64 {
            return Ok(head);
        }
        let (parts, body) = head.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|e| RequestError::ConnectionLost(e.to_string()))?
            .to_bytes();
        let stored = StoredResponse { status: parts.status, fields: parts.headers, body };
        let stored = Arc::new(stored);
        let response = stored.to_response();
        self.end(Completion::Responded(stored));
        Ok(response)
    }

    fn end(&mut self, completion: Completion<Arc<StoredResponse>>) {
        self.finished = true;
        self.cache.lock().finish(&self.name, completion);
    }
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let sent = self.sent.load(Ordering::Relaxed);
        self.end(if sent { Completion::MayHaveRun } else { Completion::NotRun });
    }
}

impl StoredResponse {
    fn to_response(&self) -> Response<OutgoingBody> {
        let mut response = Response::new(body::full(self.body.clone()));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.fields.clone();
        response
    }
}
