//! Requests that carry an idempotency key.

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

/// Most requests remembered.
const MAX_ENTRIES: usize = 4_096;
/// How long one is remembered.
const MAX_AGE: Duration = Duration::from_secs(600);
/// Largest answer that is remembered, in bytes; with [`MAX_ENTRIES`], 16 MiB in all.
const MAX_BODY: usize = 4 * 1024;
/// When a repeat of a request that still runs may come back.
const RUNNING_RETRY: Duration = Duration::from_millis(100);

/// First answers to requests with an idempotency key, given again to their repeats.
///
/// The promise holds within one life of the daemon that owns the key, for [`MAX_AGE`] and the
/// newest [`MAX_ENTRIES`] requests; in services without keys, only for repeats that reach the same
/// instance. The upstream gets the idempotency key too: past the promise, and for what an earlier
/// owner has run, only the upstream itself can tell a repeat. A body too large to be held, or an
/// answer larger than [`MAX_BODY`], ends it as well: the answer's repeat gets "may have run".
#[derive(Debug)]
pub(crate) struct Repeats {
    /// Origin of the moments given to the policy.
    origin: Instant,
    memory: Mutex<IdempotencyCache<Arc<Stored>>>,
}

/// What names one operation.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    /// Key of the request and idempotency key.
    pub(crate) name: String,
    /// Hash of what is asked, so that another request under the same name is found out.
    pub(crate) fingerprint: u64,
}

#[derive(Debug)]
struct Stored {
    status: StatusCode,
    fields: HeaderMap,
    body: Bytes,
}

/// What to do with a request that carries an idempotency key.
pub(crate) enum Begun<'a> {
    /// It is the first: run it.
    First(Claim<'a>),
    /// It repeats one whose answer is known.
    Answered(Response<OutgoingBody>),
}

/// The first run of an operation. Dropped before its end, the operation may have run if the
/// request was sent.
#[derive(Debug)]
pub(crate) struct Claim<'a> {
    repeats: &'a Repeats,
    name: String,
    sent: AtomicBool,
    finished: bool,
}

impl Operation {
    /// The operation of a request for `key` with the idempotency key `idempotency`.
    pub(crate) fn new(key: &str, idempotency: &str, asked: (&str, &str, &[u8])) -> Self {
        let mut hasher = DefaultHasher::new();
        asked.hash(&mut hasher);
        Self { name: format!("{key}\n{idempotency}"), fingerprint: hasher.finish() }
    }
}

impl Repeats {
    pub(crate) fn new() -> Self {
        let memory = IdempotencyCache::new(Moment::ZERO, MAX_ENTRIES, MAX_AGE);
        Self { origin: Instant::now(), memory: Mutex::new(memory) }
    }

    /// Looks the operation up, and remembers a new one as running.
    ///
    /// # Errors
    /// The first run's answer is not known, or the request may not run for another reason.
    pub(crate) fn begin(&self, operation: Operation) -> Result<Begun<'_>, RequestError> {
        let Operation { name, fingerprint } = operation;
        let seen = self.lock().begin(self.origin.elapsed(), &name, fingerprint);
        match seen {
            Lookup::New => {
                let sent = AtomicBool::new(false);
                Ok(Begun::First(Claim { repeats: self, name, sent, finished: false }))
            }
            Lookup::Responded(stored) => Ok(Begun::Answered(stored.answer())),
            Lookup::Running => Err(RequestError::RepeatRunning { retry: RUNNING_RETRY }),
            Lookup::MayHaveRun => Err(RequestError::RepeatUnknown),
            Lookup::Mismatch => Err(RequestError::RepeatMismatch),
            Lookup::Full => Err(RequestError::Overloaded { retry: RUNNING_RETRY }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, IdempotencyCache<Arc<Stored>>> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Claim<'_> {
    /// The request is about to be sent.
    pub(crate) fn note_sent(&self) {
        self.sent.store(true, Ordering::Relaxed);
    }

    /// Remembers a small answer; passes every outcome on.
    pub(crate) async fn finish(mut self, outcome: Outcome) -> Outcome {
        let head = match outcome {
            Ok(head) => head,
            Err(error) => {
                // The claim's end tells whether it was sent; only a certain refusal frees it.
                if error.verdict().may_retry(false) {
                    self.end(Completion::NotRun);
                }
                return Err(error);
            }
        };
        let length = head.body().size_hint().upper().unwrap_or(u64::MAX);
        if length > MAX_BODY as u64 {
            return Ok(head);
        }
        let (parts, body) = head.into_parts();
        let body = body.collect().await.map_err(|e| RequestError::Cut(e.to_string()))?.to_bytes();
        let stored = Stored { status: parts.status, fields: parts.headers, body };
        let stored = Arc::new(stored);
        let answer = stored.answer();
        self.end(Completion::Responded(stored));
        Ok(answer)
    }

    fn end(&mut self, finish: Completion<Arc<Stored>>) {
        self.finished = true;
        self.repeats.lock().finish(&self.name, finish);
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

impl Stored {
    fn answer(&self) -> Response<OutgoingBody> {
        let mut answer = Response::new(body::whole(self.body.clone()));
        *answer.status_mut() = self.status;
        *answer.headers_mut() = self.fields.clone();
        answer
    }
}
