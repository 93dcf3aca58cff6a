//! HTTP responses of the emulators.

use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Serialize;

/// Body of a response; an error in the body aborts the connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Result of a request: a response, or a closed connection.
pub(crate) type HandlerResult = Result<Response<Body>, Hangup>;

/// Makes the server close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("the connection is closed without a response")]
pub struct Hangup;

/// Creates a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    with_body(status, Bytes::new())
}

/// Creates a response with a complete body.
pub(crate) fn with_body(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Creates a response with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let Ok(body) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = with_body(status, body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
