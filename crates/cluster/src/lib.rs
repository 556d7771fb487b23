//! Membership, failure detection and spread of versioned records.
//!
//! The core ([`Cluster`]) is pure: datagrams and ticks come in, datagrams and notices go out as
//! values. The node drives it over UDP, the tests and the simulator over virtual links.
//!
//! Three ways of spreading, each for what it suits:
//! * news that is rare and must reach everyone (members, the configuration's revision, drain
//!   marks, machines) goes by gossip in a limited number of sends;
//! * what gossip missed is found by comparing hashes with a random peer now and then;
//! * load digests, which are frequent and soon replaced, go down a tree over the zone's members,
//!   once to each member, and at a lower rate to other zones.

mod budget;
mod config;
mod core;
mod digest_spread;
mod membership;
mod message;
mod probe;
mod receive;
mod record;
mod relay;
mod repair;
mod rumour;
mod synchronize;

pub use config::{ClusterConfig, Output};
pub use core::Cluster;
pub use message::{CodecError, MAX_DATAGRAM_BYTES, MAX_ITEM_BYTES};
pub use record::{Member, MemberState, MemberUpdate, Record, RecordKey, RecordVersion};
