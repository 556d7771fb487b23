//! What an engine does.

use std::pin::Pin;

use async_trait::async_trait;
use dalestand_types::{
    AttemptId, EngineLoad, EngineOrders, Epoch, GenerationFrame, GenerationRequest, Order,
    OrderOutcome, Refusal, Sequence,
};
use error_stack::Report;
use futures_util::Stream;

use crate::{CacheEvents, PlatformError};

/// Why an attempt ended early, by what is known of whether it ran.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// No byte of the request was sent: it did not run.
    #[error("the engine could not be reached: {0}")]
    NotSent(String),
    /// The engine refused it.
    #[error("the engine refused the request: {0:?}")]
    Refused(Refusal),
    /// The engine called the request wrong: it did not run.
    #[error("the engine rejected the request: {0}")]
    Rejected(String),
    /// The request was sent and its answer broke off: it may have run.
    #[error("the engine's answer broke off: {0}")]
    BrokenOff(String),
    /// A frame could not be understood.
    #[error("the engine sent a malformed frame: {0}")]
    MalformedFrame(String),
}

impl AttemptError {
    /// Whether the request certainly did not run.
    pub fn proves_not_run(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::Rejected(_) => true,
            Self::Refused(refusal) => refusal.reason != dalestand_types::RefusalReason::AlreadyRun,
            Self::BrokenOff(_) | Self::MalformedFrame(_) => false,
        }
    }
}

/// Frames of one attempt, as the engine sends them. Dropping it closes the connection, which
/// cancels the attempt.
pub type FrameStream = Pin<Box<dyn Stream<Item = Result<GenerationFrame, AttemptError>>>>;

/// What an engine does.
#[async_trait(?Send)]
pub trait Engine {
    /// Runs a request. The stream is yielded once the engine has accepted it.
    async fn generate(&self, request: &GenerationRequest) -> Result<FrameStream, AttemptError>;

    /// Stops an attempt; stopping one that is unknown or over is no error.
    async fn cancel(&self, attempt: AttemptId) -> Result<(), Report<PlatformError>>;

    /// Raises the highest epoch the engine has seen and reads its order state.
    async fn raise_epoch(&self, epoch: Epoch) -> Result<OrderOutcome, Report<PlatformError>>;

    /// Gives an order. Giving the same order again is safe: it is run once.
    async fn order(&self, order: &Order) -> Result<OrderOutcome, Report<PlatformError>>;

    /// Reads the order state.
    async fn orders(&self) -> Result<EngineOrders, Report<PlatformError>>;

    /// Reads the last load report.
    async fn load(&self) -> Result<EngineLoad, Report<PlatformError>>;

    /// Reads the events of the prefix cache after the one numbered `after`.
    async fn cache_events(&self, after: Sequence) -> Result<CacheEvents, Report<PlatformError>>;
}
