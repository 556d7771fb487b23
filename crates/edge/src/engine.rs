//! Interface of an engine.

use std::pin::Pin;

use async_trait::async_trait;
use dalestand_types::{
    AttemptId, EngineLoad, EngineOrders, Epoch, GenerationFrame, GenerationRequest, Order,
    OrderOutcome, Refusal, Sequence,
};
use error_stack::Report;
use futures_util::Stream;

use crate::{CacheEvents, PlatformError};

/// Why an attempt failed. The variants differ in what is known about whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// No byte of the request was sent, so it did not run.
    #[error("the engine could not be reached: {0}")]
    NotSent(String),
    /// The engine refused the request; it did not run, unless the reason says that it ran before.
    #[error("the engine refused the request: {0:?}")]
    Refused(Refusal),
    /// The engine rejected the request as invalid; it did not run.
    #[error("the engine rejected the request: {0}")]
    Rejected(String),
    /// The request was sent and no usable answer came: it may have run.
    #[error("the engine did not complete its answer: {0}")]
    BrokenOff(String),
    /// A frame could not be parsed; the request may have run.
    #[error("the engine sent a malformed frame: {0}")]
    MalformedFrame(String),
}

impl AttemptError {
    /// Whether the request is known not to have run.
    pub fn proves_not_run(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::Rejected(_) => true,
            Self::Refused(refusal) => refusal.reason != dalestand_types::RefusalReason::AlreadyRun,
            Self::BrokenOff(_) | Self::MalformedFrame(_) => false,
        }
    }
}

/// Frames of one attempt, as the engine sends them. Dropping the stream closes the connection, which
/// cancels the attempt.
pub type FrameStream = Pin<Box<dyn Stream<Item = Result<GenerationFrame, AttemptError>>>>;

/// Operations of an engine.
#[async_trait(?Send)]
pub trait Engine {
    /// Runs a request. Returns the stream of frames once the engine has accepted the request.
    async fn generate(&self, request: &GenerationRequest) -> Result<FrameStream, AttemptError>;

    /// Cancels an attempt. Cancelling an unknown or finished attempt is not an error.
    async fn cancel(&self, attempt: AttemptId) -> Result<(), Report<PlatformError>>;

    /// Raises the highest epoch that the engine has seen and reads its order state.
    async fn raise_epoch(&self, epoch: Epoch) -> Result<OrderOutcome, Report<PlatformError>>;

    /// Sends an order, such as to load a model or change the role. The call is idempotent: an order
    /// that is sent again runs once.
    async fn order(&self, order: &Order) -> Result<OrderOutcome, Report<PlatformError>>;

    /// Reads the order state: the highest epoch, the role, the last order and the loaded models.
    async fn orders(&self) -> Result<EngineOrders, Report<PlatformError>>;

    /// Reads the last load report.
    async fn load(&self) -> Result<EngineLoad, Report<PlatformError>>;

    /// Reads the events of the prefix cache with sequence numbers above `after`.
    async fn cache_events(&self, after: Sequence) -> Result<CacheEvents, Report<PlatformError>>;
}
