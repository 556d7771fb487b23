//! The first of two stages: one engine runs the prompt and holds its KV cache for another.

use dalestand_edge::{AttemptError, Engine as _, HttpEngine};
use dalestand_routing::EngineView;
use dalestand_types::{CacheHandle, GenerationFrame, GenerationRequest, Usage};
use futures_util::StreamExt as _;

/// A prompt that has run.
pub(super) struct Prefilled {
    /// Where its KV cache is held.
    pub(super) handle: CacheHandle,
    /// Token counts.
    pub(super) usage: Usage,
}

/// Runs the prompt of `request` on `engine`.
pub(super) async fn run(
    client: &HttpEngine,
    engine: &EngineView,
    request: &GenerationRequest,
) -> Result<Prefilled, AttemptError> {
    let mut frames = client.generate(request).await?;
    while let Some(frame) = frames.next().await {
        match frame? {
            GenerationFrame::Prefilled { attempt, usage } if attempt == request.attempt => {
                let address = engine.address;
                let handle = CacheHandle { address, attempt };
                return Ok(Prefilled { handle, usage });
            }
            GenerationFrame::Failed { message, .. } => {
                return Err(AttemptError::BrokenOff(message));
            }
            // Frames of another attempt, and tokens that nobody asked for, reach no caller.
            _ => {}
        }
    }
    let message = "ended before the prompt had run".to_owned();
    Err(AttemptError::BrokenOff(message))
}
