//! Settings of the cluster and what its core tells the driver.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dalestand_types::NodeId;

use crate::record::{Member, Record};

/// Settings of the cluster.
///
/// A dead member is found within about four probe periods, since every node probes one member a
/// period, plus the suspicion time. Rounds of a probe are independent, so a live member is called
/// down only if every round of one prober is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterConfig {
    /// Time between two new probes of a node.
    pub probe_period: Duration,
    /// Time between two rounds of one probe.
    pub probe_retry_interval: Duration,
    /// A member that answered no round for this long is called down.
    pub suspicion_timeout: Duration,
    /// Members asked to probe in one's place, each round but the first.
    pub indirect_probes: usize,
    /// Peers told in one round of gossip.
    pub gossip_fan_out: usize,
    /// Members a holder hands its load digest to; few, since it may hold many groups.
    pub digest_fan_out: usize,
    /// Members a relay passes a load digest on to.
    pub relay_fan_out: usize,
    /// Most bytes a second of gossip rounds, for urgent news and for other news each.
    pub gossip_bytes_per_second: u32,
    /// Time between two comparisons with a random peer.
    pub sync_period: Duration,
    /// Time between two comparisons after the node started or a member came.
    pub fast_sync_period: Duration,
    /// How long that goes on.
    pub fast_sync_duration: Duration,
    /// Time between two load digests of a group that go to other zones.
    pub remote_digest_period: Duration,
    /// How long a member that is down is remembered.
    pub down_member_retention: Duration,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(400),
            probe_retry_interval: Duration::from_millis(400),
            suspicion_timeout: Duration::from_millis(2_000),
            indirect_probes: 2,
            gossip_fan_out: 2,
            digest_fan_out: 2,
            relay_fan_out: 3,
            gossip_bytes_per_second: 12_000,
            sync_period: Duration::from_secs(5),
            fast_sync_period: Duration::from_millis(500),
            fast_sync_duration: Duration::from_secs(5),
            remote_digest_period: Duration::from_secs(4),
            down_member_retention: Duration::from_secs(3_600),
        }
    }
}

/// What the driver is to do or to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// To whom.
        to: SocketAddr,
        /// What.
        datagram: Bytes,
    },
    /// A record changed.
    RecordChanged(Record),
    /// A peer has the content that a newer record stands for. The record is kept, and passed on,
    /// once the driver has fetched the content and published the record itself.
    RecordOffered {
        /// The record.
        record: Record,
        /// The peer.
        from: SocketAddr,
    },
    /// A member came up.
    MemberUp(Member),
    /// A member went down or left.
    MemberDown(NodeId),
}
