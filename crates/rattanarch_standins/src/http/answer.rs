//! Answers that the stand-ins give.

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

/// Body of an answer; an error in it cuts the connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// How a request ends: with an answer, or with its connection closed.
pub(crate) type Answer = Result<Response<Body>, Hangup>;

/// Closes the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection is closed without an answer")]
pub struct Hangup;

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    whole(status, Bytes::new())
}

/// An answer with a body that is known as a whole.
pub(crate) fn whole(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed_unsync();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}

/// An answer with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let Ok(body) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut answer = whole(status, body);
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
