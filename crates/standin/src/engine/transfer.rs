//! Simulated transfer of a prompt's KV cache between two engines.

use std::time::Duration;

use dalestand_edge::wire::engine::{CACHE_EXPORT, CacheExportRequest, CacheExportResponse};
use dalestand_http_server::StatusCode;
use dalestand_types::CacheHandle;

/// Transfer time per prompt token.
const TRANSFER_PER_TOKEN: Duration = Duration::from_micros(2);

/// Timeout of a transfer.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// Transfer time of a prompt's KV cache.
pub(super) fn transfer_time(prompt_tokens: u32) -> Duration {
    TRANSFER_PER_TOKEN * prompt_tokens
}

/// Fetches a KV cache and returns its prompt tokens; `None` if the exporting engine cannot be
/// reached or no longer has it.
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
