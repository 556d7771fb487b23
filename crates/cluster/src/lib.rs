//! Membership, failure detection and spread of versioned records.
//!
//! The core ([`Cluster`]) is pure: datagrams and ticks come in, datagrams and notices go out as
//! values. The node drives it over UDP, the tests and the simulator over virtual links.

mod core;
mod message;
mod record;

pub use core::{Cluster, ClusterConfig, Output};
pub use message::{CodecError, Message, decode, encode};
pub use record::{Member, Record, RecordKey, RecordVersion};
