//! Sends load digests: down a tree over the zone they concern, seldom to the other zones.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dalestand_types::MonotonicTime;
use rand::{Rng, RngExt as _};

use crate::config::Output;
use crate::core::{Cluster, send_body};
use crate::message::Body;
use crate::relay;

/// Members from which on the configured period between far digests is kept.
const FULL_PERIOD_MEMBERS: usize = 64;

impl Cluster {
    /// Sends the digests that were published since the last tick.
    pub(crate) fn send_digests<R: Rng>(
        &mut self,
        now: MonotonicTime,
        random: &mut R,
        outputs: &mut Vec<Output>,
    ) {
        for digest in std::mem::take(&mut self.own_digests) {
            let current = self.records.get(&digest.group).map(|one| one.version);
            if current != Some(digest.version) {
                continue;
            }
            let seed = random.random();
            let whole = (0, u64::MAX);
            let far_sent_at = self.far_sent_at.get(&digest.group);
            let far_due =
                far_sent_at.is_none_or(|at| now.since(*at) >= self.remote_digest_period());
            if far_due {
                self.far_sent_at.insert(digest.group.clone(), now);
            }
            let own = &self.local_member().zone;
            if *own == digest.home || far_due {
                let fan_out = self.config.digest_fan_out;
                outputs.extend(self.split_zone(seed, whole, &digest.encoded, fan_out));
            }
            for (zone, members) in self.membership.zones() {
                if zone != own && (far_due || *zone == digest.home) {
                    let to = members[random.random_range(0..members.len())].address;
                    outputs.extend(send_relay(to, seed, whole, &digest.encoded));
                }
            }
        }
    }

    /// Time between two digests of a group that go to other zones. What they cost a node grows with
    /// the fleet, so a small fleet shares them nearly as often as within a zone.
    fn remote_digest_period(&self) -> Duration {
        let members = self.member_count().min(FULL_PERIOD_MEMBERS);
        self.config.remote_digest_period * members as u32 / FULL_PERIOD_MEMBERS as u32
    }

    /// Passes a load digest on to this node's zone, as far as the range goes.
    pub(crate) fn relay(&self, seed: u64, range: (u64, u64), record: &Bytes) -> Vec<Output> {
        self.split_zone(seed, range, record, self.config.relay_fan_out)
    }

    fn split_zone(
        &self,
        seed: u64,
        range: (u64, u64),
        record: &Bytes,
        fan_out: usize,
    ) -> Vec<Output> {
        let Some(members) = self.membership.zones().get(&self.local_member().zone) else {
            return Vec::new();
        };
        let parts = relay::split(members.iter(), seed, range, fan_out);
        let sends = parts
            .into_iter()
            .filter_map(|part| send_relay(part.to, seed, (part.low, part.high), record));
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
