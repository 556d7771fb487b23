//! Anti-entropy of the core: who compares with whom, and what a comparison brings.

use std::collections::HashSet;
use std::net::SocketAddr;

use bytes::Bytes;
use dalestand_types::MonotonicTime;
use rand::{Rng, RngExt as _};

use crate::config::Output;
use crate::core::{Cluster, draw, send, send_body};
use crate::message::{Body, ITEM_OVERHEAD_BYTES, Item, MAX_ITEM_BYTES, Message, encode_item};
use crate::repair::{
    BUCKETS, bucket_hashes, bucket_of_member, bucket_of_record, different_buckets,
};

/// Seeds asked at once by a node that knows nobody.
const SEEDS_ASKED: usize = 2;

/// Most datagrams that answer one comparison; the next comparison brings the rest.
const MAX_SYNC_DATAGRAMS: usize = 16;

impl Cluster {
    /// Compares with a random peer, and with an address that no live member has, when due.
    pub(crate) fn sync_when_due<R: Rng>(
        &mut self,
        now: MonotonicTime,
        random: &mut R,
        outputs: &mut Vec<Output>,
    ) {
        if now >= self.next_sync {
            let unsettled = self.unsettled_until.is_some_and(|until| now < until);
            let period = if unsettled {
                self.config.fast_sync_period
            } else {
                self.config.sync_period
            };
            self.next_sync = now + period.mul_f64(random.random_range(0.75..1.25));
            let mut targets = self.draw_live(1, random);
            if targets.is_empty() {
                targets = draw(self.contacts().collect(), SEEDS_ASKED, random);
            }
            self.sync_with(targets, outputs);
        }
        if now >= self.next_contact {
            self.next_contact = now + self.config.sync_period;
            let forget_after = self.config.down_member_retention;
            self.membership.forget_down(now, forget_after);
            let absent = self.absent_addresses();
            self.sync_with(draw(absent, 1, random), outputs);
        }
    }

    /// Addresses that no live member has: members that are down, and seeds. A cut that has healed
    /// shows when one of them answers.
    fn absent_addresses(&self) -> Vec<SocketAddr> {
        let live: HashSet<SocketAddr> = self.members().map(|member| member.address).collect();
        let down = self.membership.down_members().map(|member| member.address);
        let known: HashSet<SocketAddr> = down.chain(self.contacts()).collect();
        let mut absent: Vec<SocketAddr> = known.difference(&live).copied().collect();
        // The order of a set differs between runs; draws of a seeded generator must not.
        absent.sort();
        absent
    }

    fn sync_with(&self, targets: Vec<SocketAddr>, outputs: &mut Vec<Output>) {
        if targets.is_empty() {
            return;
        }
        let me = Item::Member(self.membership.local().clone());
        let message = Message {
            body: Body::Sync {
                buckets: self.bucket_hashes(),
                answer: false,
            },
            items: encode_item(&me).into_iter().collect(),
        };
        outputs.extend(targets.into_iter().filter_map(|to| send(to, &message)));
    }

    /// Sends what stands in the buckets that differ.
    pub(crate) fn answer_sync<R: Rng>(
        &mut self,
        to: SocketAddr,
        theirs: &Bytes,
        answer: bool,
        random: &mut R,
        outputs: &mut Vec<Output>,
    ) {
        let ours = self.bucket_hashes();
        let mut different = different_buckets(&ours, theirs);
        if different.is_empty() {
            return;
        }
        let start = random.random_range(0..different.len());
        different.rotate_left(start);
        let mut datagrams = fill_datagrams(self.items_of(&different));
        datagrams.truncate(MAX_SYNC_DATAGRAMS);
        for items in datagrams {
            let body = Body::Gossip;
            outputs.extend(send(to, &Message { body, items }));
        }
        if !answer {
            let body = Body::Sync {
                buckets: ours,
                answer: true,
            };
            outputs.extend(send_body(to, body));
        }
    }

    /// What stands in some buckets, in their order.
    fn items_of(&self, buckets: &[usize]) -> Vec<Bytes> {
        let mut by_bucket: Vec<Vec<Item>> = vec![Vec::new(); BUCKETS];
        for update in self.membership.updates() {
            let bucket = bucket_of_member(&update.member.node);
            by_bucket[bucket].push(Item::Member(update.clone()));
        }
        for record in self.records.values().filter(|one| one.key.is_durable()) {
            by_bucket[bucket_of_record(&record.key)].push(Item::Record(record.clone()));
        }
        let items = buckets.iter().flat_map(|bucket| &by_bucket[*bucket]);
        items.filter_map(|item| encode_item(item).ok()).collect()
    }

    /// Hash of each bucket of what this node knows.
    fn bucket_hashes(&self) -> Bytes {
        let durable = self.records.values().filter(|one| one.key.is_durable());
        let versions = durable.map(|record| (&record.key, record.version));
        bucket_hashes(self.membership.updates(), versions)
    }
}

/// Spreads items over as few datagrams as keep their bound.
fn fill_datagrams(items: Vec<Bytes>) -> Vec<Vec<Bytes>> {
    let mut datagrams: Vec<Vec<Bytes>> = Vec::new();
    let mut left = 0;
    for item in items {
        let cost = item.len() + ITEM_OVERHEAD_BYTES;
        match datagrams.last_mut() {
            Some(last) if cost <= left => last.push(item),
            _ => {
                datagrams.push(vec![item]);
                left = MAX_ITEM_BYTES + ITEM_OVERHEAD_BYTES;
            }
        }
        left -= cost;
    }
    datagrams
}
