//! Header fields that daemons add to a forwarded request and to its response.

use std::time::Duration;

use derive_more::Display;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use rattanarch_routing::ResponseSize;
use rattanarch_types::Rank;
use rattanarch_types::Verdict;
use rattanarch_types::Version;

/// Metadata of a forwarded request.
pub(crate) const FORWARD: HeaderName = HeaderName::from_static("rattanarch-forward");

/// Group of a forwarded request; absent if requests are not grouped.
pub(crate) const FLOW: HeaderName = HeaderName::from_static("rattanarch-flow");

/// How a forwarded request ended.
const VERDICT: HeaderName = HeaderName::from_static(Verdict::HEADER);

/// Why it was refused or failed.
const REASON: HeaderName = HeaderName::from_static("rattanarch-reason");

/// Life of the upstream that responded, if it says that it is leaving.
const LEAVING: HeaderName = HeaderName::from_static("rattanarch-leaving");

/// Load of the upstream that responded.
const LOAD: HeaderName = HeaderName::from_static("rattanarch-load");

/// Metadata of a forwarded request, written as
/// `service origin rank objective-ms left-ms once|safe key|- large|small again|first life@age-ms|- record-version`.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display(
    "{service} {origin_service} {rank} {} {} {} {} {} {} {} {version}",
    objective.as_millis(),
    left.as_millis(),
    if *idempotent { IDEMPOTENT } else { AT_MOST_ONCE },
    key.map_or_else(|| NO_KEY.to_owned(), |key| key.to_string()),
    match size {
        ResponseSize::Small => SMALL,
        ResponseSize::Large => LARGE,
    },
    if *retry { RETRY } else { FIRST_RUN },
    leaving.as_ref().map_or_else(|| NO_NOTICE.to_owned(), LeavingNotice::to_string)
)]
pub(crate) struct ForwardHeader {
    pub(crate) service: String,
    pub(crate) origin_service: String,
    pub(crate) rank: Rank,
    /// Time until the response should be there, when the request is sent.
    pub(crate) objective: Duration,
    /// Time until the deadline, when the request is sent.
    pub(crate) left: Duration,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<u16>,
    pub(crate) size: ResponseSize,
    /// Whether the run counts as a retry; see [`Call::retry`](crate::request::Call::retry).
    pub(crate) retry: bool,
    /// What the sender knows of the upstream's leaving; the receiver may have started since.
    pub(crate) leaving: Option<LeavingNotice>,
    /// Version of the record by which the sender chose the receiver; 0 if not told.
    pub(crate) version: Version,
}

/// A life of an upstream that has said that it is leaving, written as `life@age-ms`.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{life}@{}", age.as_millis())]
pub(crate) struct LeavingNotice {
    /// Written form of the life's key.
    pub(crate) life: String,
    /// Time since the sender passed on the first response that says so.
    pub(crate) age: Duration,
}

impl LeavingNotice {
    fn read(text: &str) -> Option<Self> {
        let (life, age) = text.rsplit_once('@')?;
        Some(Self { life: life.to_owned(), age: Duration::from_millis(age.parse().ok()?) })
    }
}

const IDEMPOTENT: &str = "safe";
const AT_MOST_ONCE: &str = "once";
const SMALL: &str = "small";
const LARGE: &str = "large";
const RETRY: &str = "again";
const FIRST_RUN: &str = "first";

/// Written for a missing key: trailing spaces of a header field are trimmed, so an empty item could be
/// lost.
const NO_KEY: &str = "-";

/// Written if nothing is known of the upstream's leaving.
const NO_NOTICE: &str = "-";

impl ForwardHeader {
    /// Reads the header of a request; `None` if it is missing or malformed.
    pub(crate) fn read(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(FORWARD)?.to_str().ok()?;
        let mut parts = text.split(' ');
        let mut next = || parts.next();
        Some(Self {
            service: next()?.to_owned(),
            origin_service: next()?.to_owned(),
            rank: next()?.parse().ok()?,
            objective: Duration::from_millis(next()?.parse().ok()?),
            left: Duration::from_millis(next()?.parse().ok()?),
            idempotent: next()? == IDEMPOTENT,
            key: match next()? {
                NO_KEY => None,
                key => Some(key.parse().ok()?),
            },
            // Older daemons do not send this item and those after it.
            size: match next() {
                Some(LARGE) => ResponseSize::Large,
                _ => ResponseSize::Small,
            },
            retry: next() == Some(RETRY),
            leaving: next().and_then(LeavingNotice::read),
            version: next().and_then(|version| version.parse().ok()).unwrap_or_default(),
        })
    }
}

/// Load of an upstream, sent with each response.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(
    "{running} {waiting} {slots} {} {} {used_percent} {} {} {} {} {concurrency}",
    mean_time.as_millis(),
    u8::from(*cold),
    send_time.as_millis(),
    lag.as_millis(),
    limit_interval.as_micros(),
    next_heartbeat.as_millis()
)]
pub(crate) struct LoadHeader {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) slots: u32,
    /// Mean service time.
    pub(crate) mean_time: Duration,
    pub(crate) cold: bool,
    /// Offered work in percent of what the slots can do.
    pub(crate) used_percent: u32,
    /// Time that a further large response will take to leave the machine.
    pub(crate) send_time: Duration,
    /// Scheduling lag of the daemon: how late it runs what is due.
    pub(crate) lag: Duration,
    /// Mean time between two requests at the limit that the upstream names; zero without a limit.
    pub(crate) limit_interval: Duration,
    /// Time until the upstream's next heartbeat is due; zero if not told.
    pub(crate) next_heartbeat: Duration,
    /// Requests that the upstream may run at once now, its slots at most; 0 if not told.
    pub(crate) concurrency: u32,
}

impl LoadHeader {
    fn read(text: &str) -> Option<Self> {
        let mut fields = text.split(' ').map(|field| field.parse::<u32>().ok());
        let mut next = || fields.next().flatten();
        Some(Self {
            running: next()?,
            waiting: next()?,
            slots: next()?,
            mean_time: Duration::from_millis(u64::from(next()?)),
            cold: next()? > 0,
            used_percent: next()?,
            send_time: Duration::from_millis(u64::from(next().unwrap_or_default())),
            lag: Duration::from_millis(u64::from(next().unwrap_or_default())),
            limit_interval: Duration::from_micros(u64::from(next().unwrap_or_default())),
            next_heartbeat: Duration::from_millis(u64::from(next().unwrap_or_default())),
            concurrency: next().unwrap_or_default(),
        })
    }

    /// Mean time in which the upstream completes one of many requests: by its slots, or by the limit that it names if
    /// that allows less.
    pub(crate) fn time_per_request(&self) -> Duration {
        (self.mean_time / self.slots.max(1)).max(self.limit_interval)
    }
}

/// How a forwarded request ended, from the response's header.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ResponseHeaders {
    pub(crate) verdict: Verdict,
    /// Reason of a refusal or a failure; otherwise empty.
    pub(crate) reason: String,
    /// Whether the upstream itself refused the request.
    pub(crate) by_upstream: bool,
    pub(crate) load: Option<LoadHeader>,
    /// Written form of the key of the life that responded, if that says that it is leaving.
    pub(crate) leaving: Option<String>,
}

/// Suffix of the reason if the upstream itself refused the request.
const BY_UPSTREAM: &str = ";arrived";

impl ResponseHeaders {
    /// Adds these fields to a response's header.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        let mut set = |name: HeaderName, text: String| match HeaderValue::from_str(&text) {
            Ok(value) => drop(headers.insert(name, value)),
            Err(error) => {
                log::warn!(name:% = name, reason:% = error; "header value cannot be sent");
            }
        };
        set(VERDICT, self.verdict.to_string());
        if !self.reason.is_empty() {
            let suffix = if self.by_upstream { BY_UPSTREAM } else { "" };
            set(REASON, format!("{}{suffix}", self.reason));
        }
        if let Some(load) = self.load {
            set(LOAD, load.to_string());
        }
        if let Some(life) = &self.leaving {
            set(LEAVING, life.clone());
        }
    }

    /// Removes these fields from a response's header; `None` if the verdict is missing or malformed.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let verdict = headers.remove(VERDICT)?.to_str().ok()?.parse().ok()?;
        let reason = headers.remove(REASON);
        let reason = reason.as_ref().and_then(|value| value.to_str().ok()).unwrap_or_default();
        let load = headers.remove(LOAD);
        let load = load.as_ref().and_then(|value| value.to_str().ok()).and_then(LoadHeader::read);
        let (reason, by_upstream) = match reason.strip_suffix(BY_UPSTREAM) {
            Some(reason) => (reason, true),
            None => (reason, false),
        };
        let leaving = headers.remove(LEAVING);
        let leaving = leaving.as_ref().and_then(|value| value.to_str().ok());
        // The life becomes one item of a list separated by spaces.
        let leaving = leaving.filter(|life| !life.contains(' ')).map(str::to_owned);
        Some(Self { verdict, reason: reason.to_owned(), by_upstream, load, leaving })
    }
}
