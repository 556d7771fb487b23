//! OpenAI-compatible HTTP API for callers, with streaming and cancellation.
//!
//! Each request is routed on the node's local view of the fleet. The gateway never waits for the
//! node's control plane: the two share only [`SharedState`].

mod answer_stream;
pub mod assembler;
mod attempt;
mod claim;
mod claim_guard;
mod completion;
mod context;
mod engines;
mod error;
mod identity;
mod openai;
mod record;
mod resolved_request;
pub mod resume;
mod server;
mod shared;
pub mod stop_sequence;
mod token_reservation;

pub use claim::{
    ClaimEnd, ClaimGate, ClaimKey, ClaimOutcome, ClaimRequest, KeptAnswer, RequestFingerprint,
};
pub use error::CallerError;
pub use server::{CallerLimits, serve_callers};
pub use shared::{ActiveConfiguration, Clock, RequestGuard, SharedState};
