//! Prefill stage of a split request: one engine prefills the prompt and holds its KV cache for the
//! engine that decodes.

use dalestand_edge::{AttemptError, Engine as _, HttpEngine};
use dalestand_routing::EngineView;
use dalestand_types::{CacheHandle, GenerationFrame, GenerationRequest, Usage};
use futures_util::StreamExt as _;

/// Result of a prefill.
pub(super) struct Prefilled {
    /// Refers to the KV cache at the engine that holds it.
    pub(super) handle: CacheHandle,
    pub(super) usage: Usage,
}

/// Prefills the prompt of `request` on `engine`.
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
            // Frames of other attempts, and tokens, which were not requested, are ignored.
            _ => {}
        }
    }
    let message = "the engine closed the connection before the prefill was complete".to_owned();
    Err(AttemptError::BrokenOff(message))
}
