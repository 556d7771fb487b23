//! Constructors for the answers of handlers.

use std::convert::Infallible;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_core::Stream;
use futures_util::StreamExt as _;
use serde::Serialize;

use crate::HttpServerError;

/// The answer that a handler returns.
pub type Answer = Response<BoxBody>;

/// An answer with a JSON body.
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => with_content_type(status, "application/json", BoxBody::new(body)),
        Err(error) => text_answer(
            StatusCode::INTERNAL_SERVER_ERROR,
            format!("the answer could not be serialized: {error}"),
        ),
    }
}

/// An answer of plain text.
pub fn text_answer(status: StatusCode, text: impl Into<String>) -> Answer {
    with_content_type(
        status,
        "text/plain; charset=utf-8",
        BoxBody::new(text.into()),
    )
}

impl From<HttpServerError> for Answer {
    /// An answer with the error's status, and its message as plain text.
    fn from(error: HttpServerError) -> Self {
        text_answer(error.status(), error.to_string())
    }
}

/// An answer without a body.
pub fn status_answer(status: StatusCode) -> Answer {
    Response::with_body(status, BoxBody::new(()))
}

/// An answer whose body is streamed from `stream`.
pub fn stream_answer<S>(status: StatusCode, content_type: &'static str, stream: S) -> Answer
where
    S: Stream<Item = Bytes> + 'static,
{
    let body = BodyStream::new(stream.map(Ok::<Bytes, Infallible>));
    with_content_type(status, content_type, BoxBody::new(body))
}

fn with_content_type(status: StatusCode, content_type: &'static str, body: BoxBody) -> Answer {
    let mut response = Response::with_body(status, body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
