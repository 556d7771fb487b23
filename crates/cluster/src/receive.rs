//! What the core does with a datagram.

use std::net::SocketAddr;

use bytes::Bytes;
use dalestand_types::{MonotonicTime, NodeId};
use rand::Rng;

use crate::config::Output;
use crate::core::{Cluster, send, send_body};
use crate::message::{Body, CodecError, Item, Message, decode, encode_item};
use crate::record::MemberState;

impl Cluster {
    /// Takes a datagram in.
    pub fn receive<R: Rng>(
        &mut self,
        now: MonotonicTime,
        from: SocketAddr,
        datagram: &[u8],
        random: &mut R,
    ) -> Result<Vec<Output>, CodecError> {
        let message: Message = decode(datagram)?;
        let mut outputs = Vec::new();
        for item in &message.items {
            outputs.extend(self.take_item(now, from, item)?);
        }
        self.take_body(from, message.body, random, &mut outputs)?;
        Ok(outputs)
    }

    fn take_item(
        &mut self,
        now: MonotonicTime,
        from: SocketAddr,
        encoded: &Bytes,
    ) -> Result<Option<Output>, CodecError> {
        match decode(encoded)? {
            Item::Member(update) => {
                let taken = self.membership.take(now, update);
                Ok(self.absorb(now, taken))
            }
            Item::Record(record) if record.key.is_content_reference() => {
                let known = self.records.get(&record.key).map(|one| one.version);
                let newer = known.is_none_or(|known| record.version > known);
                Ok(newer.then_some(Output::RecordOffered { record, from }))
            }
            Item::Record(record) => Ok(self
                .store(record, encoded.clone())
                .map(Output::RecordChanged)),
        }
    }

    fn take_body<R: Rng>(
        &mut self,
        sender: SocketAddr,
        body: Body,
        random: &mut R,
        outputs: &mut Vec<Output>,
    ) -> Result<(), CodecError> {
        match body {
            Body::Gossip => {}
            Body::Ping {
                probe,
                origin,
                target,
                from,
            } => outputs.extend(self.answer_ping(sender, probe, origin, &target, &from)),
            Body::PingRequest {
                probe,
                target,
                from,
            } => outputs.extend(self.ping_for(sender, probe, target, from)),
            Body::Ack {
                probe,
                origin,
                node,
                incarnation,
            } => {
                if origin == self.local_member().address {
                    let known = self.membership.update(&node);
                    if known.is_some_and(|update| update.member.incarnation <= incarnation) {
                        self.prober.acknowledged(&node, probe);
                    }
                } else {
                    let body = Body::Ack {
                        probe,
                        origin,
                        node,
                        incarnation,
                    };
                    outputs.extend(send_body(origin, body));
                }
            }
            Body::Sync { buckets, answer } => {
                self.answer_sync(sender, &buckets, answer, random, outputs);
            }
            Body::Relay {
                seed,
                low,
                high,
                record,
            } => self.take_relay(seed, (low, high), &record, outputs)?,
        }
        Ok(())
    }

    fn answer_ping(
        &mut self,
        sender: SocketAddr,
        probe: u32,
        origin: SocketAddr,
        target: &NodeId,
        from: &NodeId,
    ) -> Option<Output> {
        let me = self.local_member();
        if me.node != *target {
            return None;
        }
        let body = Body::Ack {
            probe,
            origin,
            node: me.node.clone(),
            incarnation: me.incarnation,
        };
        // A prober that is thought to be down is told so, and can contradict.
        let thought_down = self.membership.update(from);
        let thought_down = thought_down.filter(|update| update.state == MemberState::Down);
        let told = thought_down.and_then(|update| encode_item(&Item::Member(update.clone())).ok());
        match told {
            Some(item) => {
                let items = vec![item];
                send(sender, &Message { body, items })
            }
            None => self.send_with_news(sender, body),
        }
    }

    /// Pings for another node. The ack names the origin, so nothing is kept here.
    fn ping_for(
        &mut self,
        origin: SocketAddr,
        probe: u32,
        target: NodeId,
        from: NodeId,
    ) -> Option<Output> {
        let to = self.membership.update(&target)?.member.address;
        let body = Body::Ping {
            probe,
            origin,
            target,
            from,
        };
        send_body(to, body)
    }

    fn take_relay(
        &mut self,
        seed: u64,
        range: (u64, u64),
        encoded: &Bytes,
        outputs: &mut Vec<Output>,
    ) -> Result<(), CodecError> {
        let Item::Record(record) = decode(encoded)? else {
            return Ok(());
        };
        let known = self.records.get(&record.key).map(|one| one.version);
        if known.is_some_and(|known| known > record.version) {
            return Ok(());
        }
        // A record that is known already is passed on as well: its publisher, and whoever brought
        // it into the zone, have a place in the tree like everyone else.
        outputs.extend(self.relay(seed, range, encoded));
        let stored = self.store(record, encoded.clone());
        outputs.extend(stored.map(Output::RecordChanged));
        Ok(())
    }
}
