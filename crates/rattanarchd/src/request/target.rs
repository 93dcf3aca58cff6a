//! Service, route and key of a request, parsed from its path and header.

use hyper::HeaderMap;
use rattanarch_types::KeySource;
use rattanarch_types::Route;
use rattanarch_types::Service;

use crate::request::RequestError;
use crate::request::headers;

/// First path segment of the upstream's control endpoints, which only the daemon may call.
const CONTROL: &str = "control";

/// Target of a request, parsed from its path `/{service}/{rest}`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Target<'a> {
    pub(crate) service: &'a str,
    /// Path after the service, beginning with `/`.
    pub(crate) rest: &'a str,
}

impl<'a> Target<'a> {
    /// Splits `path` into service and rest.
    ///
    /// # Errors
    /// [`RequestError::PathMalformed`] if the path names no service, or is ambiguous: it has a dot
    /// segment, an empty segment before the last, or invalid percent-encoding.
    pub(crate) fn parse(path: &'a str) -> Result<Self, RequestError> {
        let Some(path) = path.strip_prefix('/') else { return Err(RequestError::PathMalformed) };
        let end = path.find('/').unwrap_or(path.len());
        let (service, rest) = path.split_at(end);
        let rest = if rest.is_empty() { "/" } else { rest };
        if service.is_empty() || !is_normalized(rest) {
            return Err(RequestError::PathMalformed);
        }
        Ok(Self { service, rest })
    }

    /// The route with the longest matching prefix.
    ///
    /// # Errors
    /// [`RequestError::RouteMissing`] if no route matches, or the path is a control endpoint.
    pub(crate) fn route(self, service: &Service) -> Result<&Route, RequestError> {
        let matching = service.routes.iter().filter(|r| self.rest.starts_with(&r.prefix));
        let longest = matching.max_by_key(|r| r.prefix.len()).filter(|_| !self.is_control());
        longest.ok_or_else(|| RequestError::RouteMissing {
            service: self.service.to_owned(),
            path: self.rest.to_owned(),
        })
    }

    /// The key of the request, from the source that the route defines. It is percent-decoded, so
    /// that a key has one owner in every encoding.
    ///
    /// # Errors
    /// [`RequestError::KeyMissing`] if there is no key, it is empty, or it has control characters.
    pub(crate) fn key(self, route: &Route, fields: &HeaderMap) -> Result<String, RequestError> {
        let key = match route.key {
            KeySource::Header => headers::text(fields, &headers::KEY),
            KeySource::Segment(index) => self.segments().nth(usize::from(index)).and_then(decode),
        };
        let is_valid = |key: &String| !key.is_empty() && !key.chars().any(char::is_control);
        key.filter(is_valid).ok_or(RequestError::KeyMissing { key_source: route.key })
    }

    fn segments(self) -> impl Iterator<Item = &'a str> {
        self.rest.split('/').skip(1)
    }

    fn is_control(self) -> bool {
        self.segments().next().and_then(decode).is_none_or(|first| first == CONTROL)
    }
}

/// Whether the path has no dot segments, no empty segments but the last, and valid
/// percent-encoding.
fn is_normalized(path: &str) -> bool {
    let mut segments = path.split('/').skip(1).peekable();
    while let Some(segment) = segments.next() {
        let inner = segments.peek().is_some();
        let decoded = decode(segment);
        let invalid = decoded.as_deref().is_none_or(|s| s == "." || s == "..");
        if invalid || (inner && segment.is_empty()) {
            return false;
        }
    }
    true
}

/// `segment` percent-decoded; `None` if the encoding is invalid or the result is not UTF-8.
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
