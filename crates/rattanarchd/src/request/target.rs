//! From a request line to a service, a route and a key.

use hyper::HeaderMap;
use rattanarch_types::KeySource;
use rattanarch_types::Route;
use rattanarch_types::Service;

use crate::request::RequestError;
use crate::request::headers;

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
    /// [`RequestError::PathMalformed`] if it names no service.
    pub(crate) fn parse(path: &'a str) -> Result<Self, RequestError> {
        let Some(path) = path.strip_prefix('/') else { return Err(RequestError::PathMalformed) };
        let end = path.find('/').unwrap_or(path.len());
        let (service, rest) = path.split_at(end);
        if service.is_empty() {
            return Err(RequestError::PathMalformed);
        }
        let rest = if rest.is_empty() { "/" } else { rest };
        Ok(Self { service, rest })
    }

    /// The route with the longest prefix of the path.
    ///
    /// # Errors
    /// [`RequestError::RouteMissing`] if no route has one.
    pub(crate) fn route(self, service: &Service) -> Result<&Route, RequestError> {
        let covering = service.routes.iter().filter(|r| self.rest.starts_with(&r.prefix));
        covering.max_by_key(|r| r.prefix.len()).ok_or_else(|| RequestError::RouteMissing {
            service: self.service.to_owned(),
            path: self.rest.to_owned(),
        })
    }

    /// The key of the request by the route's rule.
    ///
    /// # Errors
    /// [`RequestError::KeyMissing`] if the request has none there.
    pub(crate) fn key(self, route: &Route, fields: &HeaderMap) -> Result<String, RequestError> {
        let key = match route.key {
            KeySource::Header => headers::text(fields, &headers::KEY),
            KeySource::Segment(place) => {
                self.rest.split('/').skip(1).nth(usize::from(place)).map(str::to_owned)
            }
        };
        key.filter(|k| !k.is_empty()).ok_or(RequestError::KeyMissing { from: route.key })
    }
}
