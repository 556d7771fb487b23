//! Hashes of claim keys, shards, and who leads a shard.

use std::fmt;

use dalestand_types::{NodeId, TenantName};
use serde::{Deserialize, Serialize};

/// Shards of all keys. A shard writes at most once in its write interval, so that the traffic of
/// the key-value service is bounded however many requests there are.
pub const SHARD_COUNT: u16 = 16;

/// Bits of a hash; two of a million keys meet with a chance of one in 10^17.
const HASH_BITS: u32 = 96;

/// Hash of a tenant and its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimHash(pub(crate) u128);

/// One of the shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId(pub u16);

impl ClaimHash {
    /// The hash of a tenant's key. Keys of different tenants, and of none, are different.
    pub fn of(tenant: Option<&TenantName>, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        if let Some(tenant) = tenant {
            hasher.update(&[1]);
            hasher.update(&(tenant.as_str().len() as u64).to_le_bytes());
            hasher.update(tenant.as_str().as_bytes());
        }
        hasher.update(&[0]);
        hasher.update(key.as_bytes());
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(u128::from_le_bytes(bytes) >> (u128::BITS - HASH_BITS))
    }

    /// The shard of this key.
    pub fn shard(self) -> ShardId {
        ShardId((self.0 % u128::from(SHARD_COUNT)) as u16)
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The node that leads a shard, of those that are live: the highest by rendezvous hash.
pub fn shard_leader<'a>(
    shard: ShardId,
    live: impl Iterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    live.max_by_key(|node| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(b"claims");
        hasher.update(&shard.0.to_le_bytes());
        hasher.update(node.as_str().as_bytes());
        *hasher.finalize().as_bytes()
    })
}
