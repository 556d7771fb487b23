//! Callers' HTTP surface: the OpenAI-compatible paths, streaming, cancel.
//!
//! It routes each request by itself on the node's picture of the fleet and never waits for the
//! control half of the node: the two share only [`Shared`].

mod attempt;
mod claim_gate;
mod completion;
mod error;
mod openai;
mod server;
mod shared;

pub use claim_gate::{ClaimEnd, ClaimGate, ClaimOutcome, ClaimRequest};
pub use error::CallerError;
pub use server::serve_callers;
pub use shared::{ActiveConfiguration, Clock, RequestGuard, Shared};
