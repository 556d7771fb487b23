//! Claims of requests that may run at most once, over all nodes.
//!
//! Each key belongs to a shard, and one live node leads a shard: the others send it their claims.
//! Leading is a matter of speed only; what makes a claim unique is the compare-and-swap of the
//! shard's record, so that a node whose leader cannot be reached leads the shard itself.

mod answers;
mod driver;
mod gate;
mod record;
#[cfg(test)]
mod tests;

pub(crate) use driver::ClaimsDriver;
pub(crate) use gate::{ChannelGate, serve_gate};
pub(crate) use record::ClaimStore;
