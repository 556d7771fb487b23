//! Claims on idempotency keys across all nodes, so that a request runs at most once.
//!
//! Each key belongs to a shard, and the nodes send claims to the live node that leads the shard.
//! The leader only improves performance: uniqueness is ensured by the compare-and-swap of the
//! shard's record. A node that cannot reach the leader therefore makes the claim itself.

mod claim_store;
mod driver;
mod gate;
mod kept_answers;
#[cfg(test)]
mod tests;

pub(crate) use claim_store::ClaimStore;
pub(crate) use driver::ClaimsDriver;
pub(crate) use gate::{ChannelGate, serve_gate};
