//! Configuration of the cluster core, and its outputs to the driver.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dalestand_types::NodeId;

use crate::record::{Member, Record};

/// Timing and rates of the cluster protocol.
///
/// Every node probes one member per period, so a failed member is detected within about four probe
/// periods plus the suspicion timeout. A live member is marked down only if a prober loses every
/// round of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterConfig {
    /// Time between the starts of two probes by a node.
    pub probe_period: Duration,
    /// Time between two rounds of pings within a probe.
    pub probe_retry_interval: Duration,
    /// A member that answers no round of a probe within this time is marked down.
    pub suspicion_timeout: Duration,
    /// Number of members asked to ping the target indirectly, in each round after the first.
    pub indirect_probes: usize,
    /// Number of peers that receive one round of gossip.
    pub gossip_fan_out: usize,
    /// Number of members to which a lease holder sends a load digest directly; small, since a node
    /// may hold many groups.
    pub digest_fan_out: usize,
    /// Number of members to which a relay forwards a load digest.
    pub relay_fan_out: usize,
    /// Maximum byte rate of gossip rounds; it applies to urgent and to normal items separately.
    pub gossip_bytes_per_second: u32,
    /// Time between two anti-entropy comparisons with a random peer.
    pub sync_period: Duration,
    /// Time between two comparisons soon after the node started or a member came up.
    pub fast_sync_period: Duration,
    /// How long [`Self::fast_sync_period`] applies after such an event.
    pub fast_sync_duration: Duration,
    /// Time between two load digests of a group sent to other zones, in a large fleet.
    pub remote_digest_period: Duration,
    /// How long a member that is down or has left is remembered.
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

/// An action or notification for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send { to: SocketAddr, datagram: Bytes },
    /// A newer version of a record was stored.
    RecordChanged(Record),
    /// A peer announced a newer version of a record that refers to content (see
    /// [`RecordKey::is_content_reference`](crate::RecordKey::is_content_reference)). The record is
    /// stored and gossiped once the driver has fetched the content and published the record.
    RecordAnnounced {
        record: Record,
        /// The peer that announced it.
        from: SocketAddr,
    },
    /// A member came up.
    MemberUp(Member),
    /// A member went down or left.
    MemberDown(NodeId),
}
