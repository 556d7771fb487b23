//! Answers of a handler.

use std::convert::Infallible;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_core::Stream;
use futures_util::StreamExt as _;
use serde::Serialize;

use crate::HttpServerError;

/// What a handler gives back.
pub type Answer = Response<BoxBody>;

/// An answer of one JSON value.
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => typed(status, "application/json", BoxBody::new(body)),
        Err(error) => text_answer(
            StatusCode::INTERNAL_SERVER_ERROR,
            format!("answer not encoded: {error}"),
        ),
    }
}

/// An answer of plain text.
pub fn text_answer(status: StatusCode, text: impl Into<String>) -> Answer {
    typed(
        status,
        "text/plain; charset=utf-8",
        BoxBody::new(text.into()),
    )
}

impl From<HttpServerError> for Answer {
    /// The error's status and what it says, as plain text.
    fn from(error: HttpServerError) -> Self {
        text_answer(error.status(), error.to_string())
    }
}

/// An answer without a body.
pub fn status_answer(status: StatusCode) -> Answer {
    Response::with_body(status, BoxBody::new(()))
}

/// An answer whose body is sent as `stream` yields it.
pub fn stream_answer<S>(status: StatusCode, content_type: &'static str, stream: S) -> Answer
where
    S: Stream<Item = Bytes> + 'static,
{
    let body = BodyStream::new(stream.map(Ok::<Bytes, Infallible>));
    typed(status, content_type, BoxBody::new(body))
}

fn typed(status: StatusCode, content_type: &'static str, body: BoxBody) -> Answer {
    let mut response = Response::with_body(status, body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
