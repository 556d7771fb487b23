//! At-most-once record of requests that may not be repeated.
//!
//! Keys are spread over a fixed number of shards. A shard's claims stand in the key-value service:
//! one head record, replaced by compare-and-swap with every batch, and sealed segments that the
//! head grew into, which run out with their lease. A node that leads a shard keeps a copy in
//! memory and gathers claims into batches. Who leads is a matter of speed only: two leaders at
//! once cannot both write after the same head, so a claim is granted once however many there are.
//!
//! Pure: [`Shard`] takes calls, time and the results of its actions, and yields actions and
//! replies as values.

mod entry;
mod key;
mod message;
mod pace;
mod shard;
mod table;

pub use entry::{ClaimState, Entry, EntryError, entries_from_text, entries_to_text};
pub use key::{ClaimHash, SHARD_COUNT, ShardId, shard_leader};
pub use message::{Action, Claim, LoadedRecord, Reply, Ticket, WriteFailure};
pub use shard::Shard;
pub use table::{CLAIM_LIFETIME, ClaimRecord, ClaimTable, MAX_CLAIMS_PER_SHARD};
