//! Reads request bodies within limits on size, time, memory and nesting.

use std::time::Duration;

use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage as _, Payload, Request};
use bytes::Bytes;
use dalestand_clock::{BootInstant, timeout_at};
use dalestand_request_bodies::{Body, BodyBuilder, MemoryAccount, Owner};
use futures_util::StreamExt as _;
use serde::de::DeserializeOwned;

use crate::HttpServerError;
use crate::intake::displaced;
use crate::server::ConnectionData;

/// Time limit for receiving a whole body, where nothing else is set.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum length in bytes.
    pub max_bytes: usize,
    /// Time limit for receiving all of it.
    pub timeout: Duration,
    /// On whose account it is held; by the caller's address if `None`.
    pub owner: Option<Owner>,
}

impl BodyLimits {
    /// At most `max_bytes`, in the default time.
    pub fn bytes(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            timeout: BODY_TIMEOUT,
            owner: None,
        }
    }
}

/// Reads the whole body. A body with a larger `Content-Length` than allowed is refused without being read.
pub async fn read_body(request: &mut Request, limits: BodyLimits) -> Result<Body, HttpServerError> {
    check_declared_length(request, limits.max_bytes)?;
    if matches!(request.payload(), Payload::None) {
        return Ok(Body::default());
    }
    let until = BootInstant::now() + limits.timeout;
    let collected = timeout_at(until, collect(request, limits)).await;
    collected.unwrap_or(Err(HttpServerError::BodyTooSlow))
}

/// Refuses a body with a larger `Content-Length` than `limit`.
pub fn check_declared_length(request: &Request, limit: usize) -> Result<(), HttpServerError> {
    let declared = declared_length(request);
    if declared.is_some_and(|length| length > limit as u64) {
        return Err(HttpServerError::BodyTooLarge { limit });
    }
    Ok(())
}

/// The length of the body that the request announces, in bytes.
pub fn declared_length(request: &Request) -> Option<u64> {
    let value = request.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

async fn collect(request: &mut Request, limits: BodyLimits) -> Result<Body, HttpServerError> {
    let mut payload = request.take_payload();
    let intake = request
        .conn_data::<ConnectionData>()
        .map(|data| data.intake.clone());
    let declared = declared_length(request).and_then(|length| length.try_into().ok());
    let account = body_account(request);
    let owner = limits.owner.unwrap_or_else(|| address_owner(request));
    let mut body = BodyBuilder::new(account.open(owner), declared);
    loop {
        if let Some(intake) = &intake {
            intake.read_body();
        }
        let chunk = tokio::select! {
            biased;
            displaced = body.reservation().displaced() => return Err(displaced.into()),
            displaced = displaced(intake.as_ref()) => return Err(displaced.into()),
            chunk = payload.next() => chunk,
        };
        let Some(chunk) = chunk else {
            break;
        };
        let chunk = chunk.map_err(|error| HttpServerError::BodyUnreadable(error.to_string()))?;
        let limit = limits.max_bytes;
        if body.len() + chunk.len() > limit {
            return Err(HttpServerError::BodyTooLarge { limit });
        }
        body.append(&chunk).await?;
    }
    if let Some(intake) = &intake {
        intake.read_ahead();
    }
    Ok(body.finish())
}

/// The memory that the bodies of the request's connection use.
fn body_account(request: &Request) -> MemoryAccount {
    let data = request.conn_data::<ConnectionData>();
    // A request that no server has received is not bounded.
    data.map_or_else(
        || MemoryAccount::new(usize::MAX),
        |data| data.bodies.clone(),
    )
}

/// The owner of bodies of callers without tenants: the address of the connection.
pub fn address_owner(request: &Request) -> Owner {
    let peer = request.peer_addr();
    peer.map_or(Owner::Unknown, |peer| Owner::Address(peer.ip()))
}

/// Maximum nesting depth of arrays and objects in a JSON body.
const MAX_DEPTH: usize = 64;

/// Whether arrays and objects are nested deeper than `limit`. Brackets within strings do not count.
fn exceeds_depth(body: &[u8], limit: usize) -> bool {
    let mut depth = 0;
    let mut in_string = false;
    let mut escaped = false;
    for byte in body {
        match (in_string, *byte) {
            (true, _) if escaped => escaped = false,
            (true, b'\\') => escaped = true,
            (_, b'"') => in_string = !in_string,
            (false, b'[' | b'{') => depth += 1,
            (false, b']' | b'}') => depth -= 1,
            _ => {}
        }
        if depth > limit as i64 {
            return true;
        }
    }
    false
}

/// Reads and parses a JSON body of at most `limit` bytes.
pub async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    limit: usize,
) -> Result<T, HttpServerError> {
    let body: Bytes = read_body(request, BodyLimits::bytes(limit))
        .await?
        .to_bytes();
    if exceeds_depth(&body, MAX_DEPTH) {
        return Err(HttpServerError::BodyTooDeep { limit: MAX_DEPTH });
    }
    let mut deserializer = serde_json::Deserializer::from_slice(&body);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        HttpServerError::InvalidJson {
            field: error.path().to_string(),
            message: error.inner().to_string(),
        }
    })?;
    deserializer
        .end()
        .map_err(|error| HttpServerError::InvalidJson {
            field: ".".to_owned(),
            message: error.to_string(),
        })?;
    Ok(value)
}
