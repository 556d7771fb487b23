//! Bucket hashes for anti-entropy: two nodes compare the hash of each bucket of their entries.

use bytes::Bytes;
use dalestand_types::NodeId;

use crate::record::{MemberState, MemberUpdate, RecordKey, RecordVersion};
use crate::relay::first_eight_bytes;

/// Number of buckets. With about 1,500 entries a bucket holds a dozen, so that a single difference
/// costs about one datagram.
pub(crate) const BUCKETS: usize = 128;

/// Bytes in the hash of a bucket.
const HASH_BYTES: usize = 4;

/// Indices of the buckets whose hashes differ; a bucket that `theirs` lacks counts as different.
pub(crate) fn different_buckets(ours: &Bytes, theirs: &Bytes) -> Vec<usize> {
    let range = |bucket: usize| bucket * HASH_BYTES..(bucket + 1) * HASH_BYTES;
    (0..BUCKETS)
        .filter(|bucket| ours.get(range(*bucket)) != theirs.get(range(*bucket)))
        .collect()
}

pub(crate) fn bucket_of_member(node: &NodeId) -> usize {
    bucket(&blake3::hash(node.as_str().as_bytes()))
}

pub(crate) fn bucket_of_record(key: &RecordKey) -> usize {
    bucket(&hash_of_key(key))
}

/// Hashes of all buckets, [`HASH_BYTES`] each. Members that are not alive are excluded, since nodes
/// remove them at different times.
pub(crate) fn bucket_hashes<'a>(
    members: impl Iterator<Item = &'a MemberUpdate>,
    records: impl Iterator<Item = (&'a RecordKey, RecordVersion)>,
) -> Bytes {
    let mut buckets = vec![0_u32; BUCKETS];
    for update in members.filter(|update| update.state == MemberState::Alive) {
        let key = blake3::hash(update.member.node.as_str().as_bytes());
        let version = (update.member.incarnation.0, u64::from(update.refutation));
        buckets[bucket(&key)] ^= entry_hash(&key, version);
    }
    for (key, version) in records {
        let key = hash_of_key(key);
        buckets[bucket(&key)] ^= entry_hash(&key, (version.major, version.minor));
    }
    let bytes = buckets.into_iter().flat_map(u32::to_le_bytes);
    bytes.collect()
}

fn hash_of_key(key: &RecordKey) -> blake3::Hash {
    let (kind, name): (u8, &str) = match key {
        RecordKey::Configuration => (0, ""),
        RecordKey::GroupDigest(group) => (1, group.as_str()),
        RecordKey::Drain(name) => (2, name),
        RecordKey::Machine(name) => (3, name),
    };
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(name.as_bytes());
    hasher.finalize()
}

fn bucket(key: &blake3::Hash) -> usize {
    first_eight_bytes(key) as usize % BUCKETS
}

fn entry_hash(key: &blake3::Hash, (major, minor): (u64, u64)) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&major.to_le_bytes());
    hasher.update(&minor.to_le_bytes());
    first_eight_bytes(&hasher.finalize()) as u32
}
