//! From a request line to a service, a route and a key.

use hyper::HeaderMap;
use rattanarch_types::KeySource;
use rattanarch_types::Route;
use rattanarch_types::Service;

use crate::request::RequestError;
use crate::request::headers;

/// First segment of the upstream's control endpoints, which are the daemon's alone.
const CONTROL: &str = "control";

/// Where a request is to go, read from its path `/{service}/{rest}`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Target<'a> {
    pub(crate) service: &'a str,
    /// Path after the service; begins with `/`.
    pub(crate) rest: &'a str,
}

impl<'a> Target<'a> {
    /// Splits `path`.
    ///
    /// # Errors
    /// [`RequestError::PathMalformed`] if it names no service, or could be read in two ways.
    pub(crate) fn parse(path: &'a str) -> Result<Self, RequestError> {
        let Some(path) = path.strip_prefix('/') else { return Err(RequestError::PathMalformed) };
        let end = path.find('/').unwrap_or(path.len());
        let (service, rest) = path.split_at(end);
        let rest = if rest.is_empty() { "/" } else { rest };
        if service.is_empty() || !is_plain(rest) {
            return Err(RequestError::PathMalformed);
        }
        Ok(Self { service, rest })
    }

    /// The route with the longest prefix of the path.
    ///
    /// # Errors
    /// [`RequestError::RouteMissing`] if no route has one.
    pub(crate) fn route(self, service: &Service) -> Result<&Route, RequestError> {
        let covering = service.routes.iter().filter(|r| self.rest.starts_with(&r.prefix));
        let longest = covering.max_by_key(|r| r.prefix.len()).filter(|_| !self.is_control());
        longest.ok_or_else(|| RequestError::RouteMissing {
            service: self.service.to_owned(),
            path: self.rest.to_owned(),
        })
    }

    /// The key of the request by the route's rule, without percent-encoding: a key has one owner
    /// however it is written.
    ///
    /// # Errors
    /// [`RequestError::KeyMissing`] if the request has none there.
    pub(crate) fn key(self, route: &Route, fields: &HeaderMap) -> Result<String, RequestError> {
        let key = match route.key {
            KeySource::Header => headers::text(fields, &headers::KEY),
            KeySource::Segment(place) => self.segments().nth(usize::from(place)).and_then(decode),
        };
        let fits = |key: &String| !key.is_empty() && !key.chars().any(char::is_control);
        key.filter(fits).ok_or(RequestError::KeyMissing { from: route.key })
    }

    fn segments(self) -> impl Iterator<Item = &'a str> {
        self.rest.split('/').skip(1)
    }

    fn is_control(self) -> bool {
        self.segments().next().and_then(decode).is_none_or(|first| first == CONTROL)
    }
}

/// Whether no segment but the last is empty, and none leads elsewhere.
fn is_plain(path: &str) -> bool {
    let mut segments = path.split('/').skip(1).peekable();
    while let Some(segment) = segments.next() {
        let inner = segments.peek().is_some();
        let decoded = decode(segment);
        let leads_elsewhere = decoded.as_deref().is_none_or(|s| s == "." || s == "..");
        if leads_elsewhere || (inner && segment.is_empty()) {
            return false;
        }
    }
    true
}

/// `segment` without percent-encoding; `None` if that is malformed or not UTF-8.
fn decode(segment: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next()?, rest.next()?];
        let digits = std::str::from_utf8(&digits).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
    }
    String::from_utf8(bytes).ok()
}
