//! Reading request bodies within a limit.

use actix_http::Request;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::de::DeserializeOwned;

use crate::HttpServerError;

/// Reads the whole body, at most `limit` bytes.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, HttpServerError> {
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

/// Reads the whole body as JSON, at most `limit` bytes.
pub async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    limit: usize,
) -> Result<T, HttpServerError> {
    let body = read_body(request, limit).await?;
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
