//! Callers' HTTP surface: the OpenAI-compatible paths, streaming, cancel.
//!
//! It routes each request by itself on the node's picture of the fleet and never waits for the
//! control half of the node: the two share only [`Shared`].

mod attempt;
mod claim;
mod completion;
mod error;
mod openai;
mod server;
mod shared;

pub use claim::{
    ClaimEnd, ClaimGate, ClaimKey, ClaimOutcome, ClaimRequest, KeptAnswer, RequestFingerprint,
};
pub use error::CallerError;
pub use server::serve_callers;
pub use shared::{ActiveConfiguration, Clock, RequestGuard, Shared};
