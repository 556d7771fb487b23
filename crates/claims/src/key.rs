//! Hashes of claim keys, their shards, and the choice of each shard's leader.

use std::fmt;

use dalestand_types::{NodeId, TenantName};
use serde::{Deserialize, Serialize};

/// Number of shards. Each shard's write rate is limited, so this bounds the load on the key-value
/// service independently of the request rate.
pub const SHARD_COUNT: u16 = 16;

/// Bits of a hash. Among a million keys a collision has a probability of about 10^-17.
const HASH_BITS: u32 = 96;

/// Hash of a tenant and an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimHash(pub(crate) u128);

/// Number of a shard, below [`SHARD_COUNT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId(pub u16);

impl ClaimHash {
    /// Hashes a key within the scope of its tenant: equal keys of different tenants, or of a tenant
    /// and of no tenant, have different hashes.
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

    /// The shard that stores this key.
    pub fn shard(self) -> ShardId {
        ShardId((self.0 % u128::from(SHARD_COUNT)) as u16)
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The leader of a shard: the live node with the highest rendezvous hash.
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
