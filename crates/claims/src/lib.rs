//! Claims that let a request with an idempotency key run at most once in the fleet.
//!
//! Keys are hashed onto a fixed number of shards. A shard is stored in the key-value service as one
//! head record, which every batch of claims replaces by compare-and-swap, and as sealed segments:
//! full heads that were copied to keys of their own and expire with their lease. The leader of a
//! shard caches its claims in memory and writes them in batches. Leadership only affects speed:
//! of two leaders that write at once, one fails its compare-and-swap, so a key is still granted
//! only once.
//!
//! The crate does no I/O. [`Shard`] takes calls, the current time and the results of its actions,
//! and returns actions and replies as values.

mod entry;
mod key;
mod message;
mod shard;
mod table;
mod write_rate;

pub use entry::{ClaimState, Entry, EntryError, entries_from_text, entries_to_text};
pub use key::{ClaimHash, SHARD_COUNT, ShardId, shard_leader};
pub use message::{Action, Claim, LoadedRecord, Reply, Ticket, WriteFailure};
pub use shard::Shard;
pub use table::{CLAIM_LIFETIME, ClaimRecord, ClaimTable, MAX_CLAIMS_PER_SHARD};
