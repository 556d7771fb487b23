//! Moves a prompt's KV cache from the engine that holds it to the one that asks.

use std::time::Duration;

use dalestand_edge::wire::engine::{CACHE_EXPORT, CacheExportRequest, CacheExportResponse};
use dalestand_http_server::StatusCode;
use dalestand_types::CacheHandle;

/// Time that the KV cache of one prompt token takes on the way.
const TRANSFER_PER_TOKEN: Duration = Duration::from_micros(2);

/// Longest wait for a transfer.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the cache of a prompt takes on the way.
pub(super) fn transfer_time(prompt_tokens: u32) -> Duration {
    TRANSFER_PER_TOKEN * prompt_tokens
}

/// Fetches a cache; `None` if it is not held any more or its holder cannot be reached.
pub(super) async fn import(handle: CacheHandle) -> Option<u32> {
    let client = awc::Client::builder().timeout(IMPORT_TIMEOUT).finish();
    let url = format!("http://{}{CACHE_EXPORT}", handle.address);
    let body = CacheExportRequest {
        attempt: handle.attempt,
    };
    let mut response = client.post(url).send_json(&body).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let export: CacheExportResponse = response.json().await.ok()?;
    Some(export.prompt_tokens)
}
