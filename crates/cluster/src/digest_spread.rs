//! Sends load digests: down a tree over the zone they concern, seldom to the other zones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use dalestand_types::{MonotonicTime, ZoneName};
use rand::{Rng, RngExt as _};

use crate::config::Output;
use crate::core::{Cluster, send_body};
use crate::message::Body;
use crate::relay;

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
                far_sent_at.is_none_or(|at| now.since(*at) >= self.config.far_digest_period);
            if far_due {
                self.far_sent_at.insert(digest.group.clone(), now);
            }
            let own = self.me().zone.clone();
            if own == digest.home || far_due {
                outputs.extend(self.relay(seed, whole, &digest.encoded));
            }
            for (zone, to) in self.draw_one_of_each_other_zone(random) {
                if far_due || zone == digest.home {
                    let body = Body::Relay {
                        seed,
                        low: 0,
                        high: u64::MAX,
                        record: digest.encoded.clone(),
                    };
                    outputs.extend(send_body(to, body));
                }
            }
        }
    }

    /// Passes a load digest on to this node's zone, as far as the range goes.
    pub(crate) fn relay(&self, seed: u64, range: (u64, u64), record: &Bytes) -> Vec<Output> {
        let zone = self.me().zone.clone();
        let members = self.membership.live_in(&zone);
        let parts = relay::split(members, seed, range, self.config.relay_fan_out);
        let sends = parts.into_iter().filter_map(|part| {
            let body = Body::Relay {
                seed,
                low: part.low,
                high: part.high,
                record: record.clone(),
            };
            send_body(part.to, body)
        });
        sends.collect()
    }

    fn draw_one_of_each_other_zone<R: Rng>(&self, random: &mut R) -> Vec<(ZoneName, SocketAddr)> {
        let mut zones: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        let own = &self.me().zone;
        for member in self.members().filter(|member| member.zone != *own) {
            zones.entry(&member.zone).or_default().push(member.address);
        }
        let drawn = zones.into_iter().map(|(zone, addresses)| {
            let place = random.random_range(0..addresses.len());
            (zone.clone(), addresses[place])
        });
        drawn.collect()
    }
}
