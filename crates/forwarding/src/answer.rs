//! Answers to callers.

use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use dalestand_engine_link::ResponseHead;
use dalestand_http_server::Answer;
use futures_core::Stream;

use crate::headers::passed_on;
use crate::relay::RelayError;

const RETRY_AFTER: HeaderName = HeaderName::from_static("retry-after");

/// Why a request has no answer of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Failure {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route leads anywhere.
    NoRoute,
    /// The body is longer than the configuration allows.
    BodyTooLong,
    /// The caller did not send its whole body.
    BodyUnreadable,
    /// No engine takes it now, and it did not run.
    NoEngine,
    /// The time is over, and it did not run.
    TimeOverNotRun,
    /// The time is over, and it may have run.
    TimeOver,
    /// It may have run, and there is no sound answer.
    Unknown,
}

impl Failure {
    /// Its status. A 503 promises that the request did not run and never will.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration | Self::NoEngine | Self::TimeOverNotRun => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyUnreadable => StatusCode::BAD_REQUEST,
            Self::TimeOver => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// When the caller is to come back, in seconds, where the request did not run.
    pub(crate) fn retry_after(self) -> Option<&'static str> {
        match self {
            Self::NoConfiguration => Some("0.5"),
            Self::NoEngine => Some("0.3"),
            Self::TimeOverNotRun => Some("1"),
            _ => None,
        }
    }

    /// The answer to the caller.
    pub(crate) fn answer(self) -> Answer {
        let mut answer = Response::with_body(self.status(), BoxBody::new(()));
        if let Some(seconds) = self.retry_after() {
            let value = HeaderValue::from_static(seconds);
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
        answer
    }
}

/// An engine's answer whose body is whole.
pub(crate) fn whole(head: &ResponseHead, body: Bytes) -> Answer {
    with_head(head, BoxBody::new(body))
}

/// An engine's answer whose body is sent on as it comes.
pub(crate) fn streamed<S>(head: &ResponseHead, length: Option<u64>, stream: S) -> Answer
where
    S: Stream<Item = Result<Bytes, RelayError>> + 'static,
{
    let body = match length {
        Some(length) => BoxBody::new(SizedStream::new(length, Box::pin(stream))),
        None => BoxBody::new(BodyStream::new(Box::pin(stream))),
    };
    with_head(head, body)
}

fn with_head(head: &ResponseHead, body: BoxBody) -> Answer {
    let mut answer = Response::with_body(head.status, body);
    let headers = answer.headers_mut();
    for (name, value) in passed_on(&head.headers) {
        headers.append(name, value);
    }
    answer
}
