//! What daemons tell each other about a forwarded request, in one header field each way.

use std::time::Duration;

use derive_more::Display;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use rattanarch_routing::ResponseSize;
use rattanarch_types::Rank;
use rattanarch_types::Verdict;

/// Marks a request that a daemon forwards.
pub(crate) const FORWARD: HeaderName = HeaderName::from_static("rattanarch-forward");

/// How a forwarded request ended.
const VERDICT: HeaderName = HeaderName::from_static(Verdict::HEADER);

/// Why it was refused or failed.
const REASON: HeaderName = HeaderName::from_static("rattanarch-reason");

/// Load of the upstream that answered.
const LOAD: HeaderName = HeaderName::from_static("rattanarch-load");

/// A forwarded request, beside what its own head says:
/// `service origin rank objective-ms left-ms once|safe key|- large|small again|first`.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display(
    "{service} {origin} {rank} {} {} {} {} {} {}",
    objective.as_millis(),
    left.as_millis(),
    if *idempotent { SAFE } else { ONCE },
    key.map_or_else(|| NO_KEY.to_owned(), |key| key.to_string()),
    match size {
        ResponseSize::Small => SMALL,
        ResponseSize::Large => LARGE,
    },
    if *repeat { AGAIN } else { FIRST }
)]
pub(crate) struct ForwardMark {
    pub(crate) service: String,
    pub(crate) origin: String,
    pub(crate) rank: Rank,
    /// Time until its answer should be there, at the send.
    pub(crate) objective: Duration,
    /// Time left to the caller at the send.
    pub(crate) left: Duration,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<u16>,
    pub(crate) size: ResponseSize,
    /// Whether it counts as a repeat; see [`Call::retry`](crate::request::Call::retry).
    pub(crate) repeat: bool,
}

const SAFE: &str = "safe";
const ONCE: &str = "once";
const SMALL: &str = "small";
const LARGE: &str = "large";
const AGAIN: &str = "again";
const FIRST: &str = "first";

/// Stands for a key: a space at the end of a header field would be lost on the way.
const NO_KEY: &str = "-";

impl ForwardMark {
    /// Reads the mark of a request; `None` if it has none that is whole.
    pub(crate) fn read(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(FORWARD)?.to_str().ok()?;
        let mut parts = text.split(' ');
        let mut next = || parts.next();
        Some(Self {
            service: next()?.to_owned(),
            origin: next()?.to_owned(),
            rank: next()?.parse().ok()?,
            objective: Duration::from_millis(next()?.parse().ok()?),
            left: Duration::from_millis(next()?.parse().ok()?),
            idempotent: next()? == SAFE,
            key: match next()? {
                NO_KEY => None,
                key => Some(key.parse().ok()?),
            },
            // An older daemon does not say this and what follows.
            size: match next() {
                Some(LARGE) => ResponseSize::Large,
                _ => ResponseSize::Small,
            },
            repeat: next() == Some(AGAIN),
        })
    }
}

/// Load of an upstream, told with each answer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(
    "{running} {waiting} {slots} {} {} {used} {} {}",
    mean.as_millis(),
    u8::from(*cold),
    sending.as_millis(),
    lag.as_millis()
)]
pub(crate) struct LoadMark {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) slots: u32,
    /// Mean service time.
    pub(crate) mean: Duration,
    pub(crate) cold: bool,
    /// Work that is offered to it, in percent of what its slots can do.
    pub(crate) used: u32,
    /// Time for which a further large answer will be on its way out of its machine.
    pub(crate) sending: Duration,
    /// How late the daemon runs what is due.
    pub(crate) lag: Duration,
}

impl LoadMark {
    fn read(text: &str) -> Option<Self> {
        let mut figures = text.split(' ').map(|figure| figure.parse::<u32>().ok());
        let mut next = || figures.next().flatten();
        Some(Self {
            running: next()?,
            waiting: next()?,
            slots: next()?,
            mean: Duration::from_millis(u64::from(next()?)),
            cold: next()? > 0,
            used: next()?,
            sending: Duration::from_millis(u64::from(next().unwrap_or_default())),
            lag: Duration::from_millis(u64::from(next().unwrap_or_default())),
        })
    }
}

/// How a forwarded request ended, as its answer's head tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct AnswerMark {
    pub(crate) verdict: Verdict,
    /// Reason of a refusal or a failure; empty for an answer.
    pub(crate) reason: String,
    /// Whether a refused request had reached the upstream.
    pub(crate) by_upstream: bool,
    pub(crate) load: Option<LoadMark>,
}

/// Added to the reason of a refusal by the upstream itself.
const ARRIVED: &str = ";arrived";

impl AnswerMark {
    /// Adds the mark to an answer's head.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        let mut set = |name: HeaderName, text: String| {
            // Words, digits and spaces can always be sent.
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(name, value);
            }
        };
        set(VERDICT, self.verdict.to_string());
        if !self.reason.is_empty() {
            let suffix = if self.by_upstream { ARRIVED } else { "" };
            set(REASON, format!("{}{suffix}", self.reason));
        }
        if let Some(load) = self.load {
            set(LOAD, load.to_string());
        }
    }

    /// Takes the mark out of an answer's head; `None` if it has none that is whole.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let verdict = headers.remove(VERDICT)?.to_str().ok()?.parse().ok()?;
        let reason = headers.remove(REASON);
        let reason = reason.as_ref().and_then(|value| value.to_str().ok()).unwrap_or_default();
        let load = headers.remove(LOAD);
        let load = load.as_ref().and_then(|value| value.to_str().ok()).and_then(LoadMark::read);
        let (reason, by_upstream) = match reason.strip_suffix(ARRIVED) {
            Some(reason) => (reason, true),
            None => (reason, false),
        };
        Some(Self { verdict, reason: reason.to_owned(), by_upstream, load })
    }
}
