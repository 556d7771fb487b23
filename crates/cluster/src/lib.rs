//! Membership, failure detection and dissemination of versioned records.
//!
//! The core ([`Cluster`]) does no I/O: it takes datagrams and ticks, and returns datagrams and
//! notifications as values. A node drives it over UDP, tests and the simulator over virtual links.
//!
//! Records are disseminated in three ways:
//! * Gossip, with a limited number of transmissions per item, carries infrequent changes that must
//!   reach every node: members, the configuration's revision, drain marks and machines.
//! * Anti-entropy repairs what gossip missed: each node periodically compares hashes with a random
//!   peer.
//! * Relay trees carry load digests, which are frequent and soon replaced: once to each member of
//!   the zone, and at a lower rate to other zones.

mod anti_entropy;
mod bucket_hashes;
mod budget;
mod config;
mod core;
mod digest_dissemination;
mod membership;
mod message;
mod probe;
mod receive;
mod record;
mod relay;
mod retransmit_queue;

pub use config::{ClusterConfig, Output};
pub use core::Cluster;
pub use message::{CodecError, MAX_DATAGRAM_BYTES, MAX_ITEM_BYTES};
pub use record::{Member, MemberState, MemberUpdate, Record, RecordKey, RecordVersion};
