//! Callers' HTTP surface: the OpenAI-compatible paths, streaming, cancel.
//!
//! It routes each request by itself on the node's picture of the fleet and never waits for the
//! control half of the node: the two share only [`SharedState`].

pub mod assembler;
mod attempt;
mod claim;
mod claim_hold;
mod completion;
mod context;
mod engines;
mod error;
mod identity;
mod openai;
mod order;
mod record;
mod relay;
pub mod resume;
mod server;
mod shared;
pub mod stop_sequence;
mod tenant_share;

pub use claim::{
    ClaimEnd, ClaimGate, ClaimKey, ClaimOutcome, ClaimRequest, KeptAnswer, RequestFingerprint,
};
pub use error::CallerError;
pub use server::{CallerLimits, serve_callers};
pub use shared::{ActiveConfiguration, Clock, RequestGuard, SharedState};
