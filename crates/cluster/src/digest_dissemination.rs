//! Sends load digests over a relay tree of their own zone and, less often, to other zones.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dalestand_types::MonotonicTime;
use rand::{Rng, RngExt as _};

use crate::config::Output;
use crate::core::{Cluster, send_body};
use crate::message::Body;
use crate::relay;

/// Fleet size from which the configured remote digest period applies; a smaller fleet has a
/// proportionally shorter one.
const FULL_PERIOD_FLEET_SIZE: usize = 64;

impl Cluster {
    /// Sends the digests that were published since the last tick.
    pub(crate) fn send_digests<R: Rng>(
        &mut self,
        now: MonotonicTime,
        random: &mut R,
        outputs: &mut Vec<Output>,
    ) {
        for digest in std::mem::take(&mut self.pending_digests) {
            let current = self.records.get(&digest.key).map(|record| record.version);
            if current != Some(digest.version) {
                continue;
            }
            let seed = random.random();
            let full_range = (0, u64::MAX);
            let remote_sent_at = self.remote_sent_at.get(&digest.key);
            let remote_due =
                remote_sent_at.is_none_or(|at| now.since(*at) >= self.remote_digest_period());
            if remote_due {
                self.remote_sent_at.insert(digest.key.clone(), now);
            }
            let own_zone = &self.local_member().zone;
            if *own_zone == digest.home || remote_due {
                let fan_out = self.config.digest_fan_out;
                outputs.extend(self.relay_to_zone(seed, full_range, &digest.encoded, fan_out));
            }
            for (zone, members) in self.membership.zones() {
                if zone != own_zone && (remote_due || *zone == digest.home) {
                    let to = members[random.random_range(0..members.len())].address;
                    outputs.extend(send_relay(to, seed, full_range, &digest.encoded));
                }
            }
        }
    }

    /// Time between two digests of a group sent to other zones. It grows with the fleet, as does
    /// the cost of these digests to each node.
    fn remote_digest_period(&self) -> Duration {
        let members = self.member_count().min(FULL_PERIOD_FLEET_SIZE);
        self.config.remote_digest_period * members as u32 / FULL_PERIOD_FLEET_SIZE as u32
    }

    /// Forwards a load digest to the members of this node's zone whose positions are in `range`.
    pub(crate) fn relay(&self, seed: u64, range: (u64, u64), record: &Bytes) -> Vec<Output> {
        self.relay_to_zone(seed, range, record, self.config.relay_fan_out)
    }

    fn relay_to_zone(
        &self,
        seed: u64,
        range: (u64, u64),
        record: &Bytes,
        fan_out: usize,
    ) -> Vec<Output> {
        let Some(members) = self.membership.zones().get(&self.local_member().zone) else {
            return Vec::new();
        };
        let subtrees = relay::split(members.iter(), seed, range, fan_out);
        let sends = subtrees.into_iter().filter_map(|subtree| {
            send_relay(subtree.to, seed, (subtree.low, subtree.high), record)
        });
        sends.collect()
    }
}

fn send_relay(
    to: SocketAddr,
    seed: u64,
    (low, high): (u64, u64),
    record: &Bytes,
) -> Option<Output> {
    let body = Body::Relay {
        seed,
        low,
        high,
        record: record.clone(),
    };
    send_body(to, body)
}
