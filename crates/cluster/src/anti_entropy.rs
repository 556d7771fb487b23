//! Anti-entropy of the core: which peers are compared with when, and how differences are sent.

use std::collections::HashSet;
use std::net::SocketAddr;

use bytes::Bytes;
use dalestand_types::MonotonicTime;
use rand::{Rng, RngExt as _};

use crate::bucket_hashes::{
    BUCKETS, bucket_hashes, bucket_of_member, bucket_of_record, different_buckets,
};
use crate::config::Output;
use crate::core::{Cluster, choose_random, send, send_body};
use crate::message::{Body, ITEM_OVERHEAD_BYTES, Item, MAX_ITEM_BYTES, Message, encode_item};

/// Seeds contacted at once by a node that knows no live peer.
const MAX_SEEDS_CONTACTED: usize = 2;

/// Maximum number of datagrams sent in answer to one comparison; the next comparison sends the
/// rest.
const MAX_SYNC_DATAGRAMS: usize = 16;

impl Cluster {
    /// Starts the comparisons that are due: with a random live peer, and with a random address that
    /// no live member has.
    pub(crate) fn sync_when_due<R: Rng>(
        &mut self,
        now: MonotonicTime,
        random: &mut R,
        outputs: &mut Vec<Output>,
    ) {
        if now >= self.next_sync {
            let fast = self.fast_sync_until.is_some_and(|until| now < until);
            let period = if fast {
                self.config.fast_sync_period
            } else {
                self.config.sync_period
            };
            self.next_sync = now + period.mul_f64(random.random_range(0.75..1.25));
            let mut targets = self.random_live_peers(1, random);
            if targets.is_empty() {
                targets = choose_random(self.contacts().collect(), MAX_SEEDS_CONTACTED, random);
            }
            self.sync_with(targets, outputs);
        }
        if now >= self.next_reconnect_sync {
            self.next_reconnect_sync = now + self.config.sync_period;
            let forget_after = self.config.down_member_retention;
            self.membership.remove_expired_down(now, forget_after);
            let addresses = self.reconnect_addresses();
            self.sync_with(choose_random(addresses, 1, random), outputs);
        }
    }

    /// Addresses of down members and contacts that no live member has. Contacting them detects that
    /// a network partition has healed.
    fn reconnect_addresses(&self) -> Vec<SocketAddr> {
        let live: HashSet<SocketAddr> = self.members().map(|member| member.address).collect();
        let down = self.membership.down_members().map(|member| member.address);
        let known: HashSet<SocketAddr> = down.chain(self.contacts()).collect();
        let mut addresses: Vec<SocketAddr> = known.difference(&live).copied().collect();
        // The iteration order of a set varies, which would make seeded simulations irreproducible.
        addresses.sort();
        addresses
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

    /// Sends the entries of the buckets that differ from the peer's.
    pub(crate) fn answer_sync<R: Rng>(
        &mut self,
        to: SocketAddr,
        theirs: &Bytes,
        answer: bool,
        random: &mut R,
        outputs: &mut Vec<Output>,
    ) {
        let ours = self.bucket_hashes();
        let mut differing = different_buckets(&ours, theirs);
        if differing.is_empty() {
            return;
        }
        let start = random.random_range(0..differing.len());
        differing.rotate_left(start);
        let mut datagrams = fill_datagrams(self.items_of(&differing));
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

    /// Encoded entries of the given buckets, in the order of the buckets.
    fn items_of(&self, buckets: &[usize]) -> Vec<Bytes> {
        let mut by_bucket: Vec<Vec<Item>> = vec![Vec::new(); BUCKETS];
        for update in self.membership.updates() {
            let bucket = bucket_of_member(&update.member.node);
            by_bucket[bucket].push(Item::Member(update.clone()));
        }
        for record in self
            .records
            .values()
            .filter(|record| record.key.is_durable())
        {
            by_bucket[bucket_of_record(&record.key)].push(Item::Record(record.clone()));
        }
        let items = buckets.iter().flat_map(|bucket| &by_bucket[*bucket]);
        items.filter_map(|item| encode_item(item).ok()).collect()
    }

    fn bucket_hashes(&self) -> Bytes {
        let durable = self
            .records
            .values()
            .filter(|record| record.key.is_durable());
        let versions = durable.map(|record| (&record.key, record.version));
        bucket_hashes(self.membership.updates(), versions)
    }
}

/// Fills datagrams with items in order, up to the size limit of each.
fn fill_datagrams(items: Vec<Bytes>) -> Vec<Vec<Bytes>> {
    let mut datagrams: Vec<Vec<Bytes>> = Vec::new();
    let mut remaining = 0;
    for item in items {
        let cost = item.len() + ITEM_OVERHEAD_BYTES;
        match datagrams.last_mut() {
            Some(last) if cost <= remaining => last.push(item),
            _ => {
                datagrams.push(vec![item]);
                remaining = MAX_ITEM_BYTES + ITEM_OVERHEAD_BYTES;
            }
        }
        remaining -= cost;
    }
    datagrams
}
