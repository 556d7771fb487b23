//! Reading request bodies within a limit.

use std::time::Duration;

use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage as _, Request};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::de::DeserializeOwned;

use crate::HttpServerError;

/// Time a caller has to send a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the whole body, at most `limit` bytes. A body that says it is longer is refused at once.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, HttpServerError> {
    if announced_length(request).is_some_and(|length| length > limit as u64) {
        return Err(HttpServerError::BodyTooLarge { limit });
    }
    let collected = actix_rt::time::timeout(BODY_TIMEOUT, collect(request, limit)).await;
    collected.unwrap_or(Err(HttpServerError::BodyTooSlow))
}

fn announced_length(request: &Request) -> Option<u64> {
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

/// Most levels of lists and objects within each other in a JSON body.
const MAX_DEPTH: usize = 64;

/// Whether lists and objects lie deeper within each other than `limit`. Text is left out.
fn exceeds_depth(body: &[u8], limit: usize) -> bool {
    let mut depth = 0;
    let mut in_text = false;
    let mut escaped = false;
    for byte in body {
        match (in_text, *byte) {
            (true, _) if escaped => escaped = false,
            (true, b'\\') => escaped = true,
            (_, b'"') => in_text = !in_text,
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

/// Reads the whole body as JSON, at most `limit` bytes.
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
