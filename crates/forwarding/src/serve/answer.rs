//! Answers to callers.

use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::header::{HeaderName, HeaderValue, WWW_AUTHENTICATE};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use dalestand_engine_link::ResponseHead;
use dalestand_http_server::Answer;
use futures_core::Stream;

use crate::serve::headers::passed_on;
use crate::serve::relay_error::RelayError;

const RETRY_AFTER: HeaderName = HeaderName::from_static("retry-after");

/// Why a request has no answer of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Failure {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route leads anywhere.
    NoRoute,
    /// The key is missing or not known.
    Unauthorized,
    /// The body is longer than the configuration allows.
    BodyTooLong,
    /// The caller did not send its whole body.
    BodyUnreadable,
    /// No engine takes it now, and it did not run.
    NoEngine,
    /// All engines that could take it want no calls, and it did not run; one may take it after this time.
    EnginesBackOff(Duration),
    /// It cannot be answered in time, and it did not run; its caller may come back after this time.
    Overloaded(Duration),
    /// Its pool is short of room and its tenant over its share, and it did not run; its caller may come back after
    /// this time.
    OverShare(Duration),
    /// Engines ended under it, and it did not run this time; it may be tried again after so long.
    EndsEngines(Duration),
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
            Self::NoConfiguration
            | Self::NoEngine
            | Self::EnginesBackOff(_)
            | Self::Overloaded(_)
            | Self::OverShare(_)
            | Self::EndsEngines(_)
            | Self::TimeOverNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyUnreadable => StatusCode::BAD_REQUEST,
            Self::TimeOver => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// When the caller is to come back, where the request did not run.
    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoConfiguration => Some(Duration::from_millis(500)),
            Self::NoEngine => Some(Duration::from_millis(300)),
            Self::Overloaded(time)
            | Self::OverShare(time)
            | Self::EndsEngines(time)
            | Self::EnginesBackOff(time) => Some(time),
            Self::TimeOverNotRun => Some(Duration::from_secs(1)),
            _ => None,
        }
    }

    /// The answer to the caller.
    pub(crate) fn answer(self) -> Answer {
        let mut answer = Response::with_body(self.status(), BoxBody::new(()));
        let retry_after = self
            .retry_after()
            .map(|time| format!("{:.2}", time.as_secs_f64()));
        if let Some(Ok(value)) = retry_after.map(HeaderValue::try_from) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
        if self == Self::Unauthorized {
            let scheme = HeaderValue::from_static("Bearer");
            answer.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        }
        answer
    }
}

/// Whether a status promises a caller that its request has not run and never will.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
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
