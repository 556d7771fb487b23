//! Reads request bodies within limits on size, time and nesting.

use std::time::Duration;

use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage as _, Request};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::de::DeserializeOwned;

use crate::HttpServerError;

/// Time limit for receiving a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the whole body, of at most `limit` bytes. A body with a larger `Content-Length` is refused
/// without being read.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, HttpServerError> {
    if declared_length(request).is_some_and(|length| length > limit as u64) {
        return Err(HttpServerError::BodyTooLarge { limit });
    }
    let collected = actix_rt::time::timeout(BODY_TIMEOUT, collect(request, limit)).await;
    collected.unwrap_or(Err(HttpServerError::BodyTooSlow))
}

fn declared_length(request: &Request) -> Option<u64> {
    let value = request.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

async fn collect(request: &mut Request, limit: usize) -> Result<Bytes, HttpServerError> {
    let mut payload = request.take_payload();
    let mut collected = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| HttpServerError::BodyUnreadable(error.to_string()))?;
        if collected.len() + chunk.len() > limit {
            return Err(HttpServerError::BodyTooLarge { limit });
        }
        collected.extend_from_slice(&chunk);
    }
    Ok(collected.freeze())
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
    let body = read_body(request, limit).await?;
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
