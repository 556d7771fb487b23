//! Handling of received datagrams.

use std::net::SocketAddr;

use bytes::Bytes;
use dalestand_types::{MonotonicTime, NodeId};
use rand::Rng;

use crate::config::Output;
use crate::core::{Cluster, send, send_body};
use crate::message::{Body, CodecError, Item, Message, decode, encode_item};
use crate::record::MemberState;

impl Cluster {
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
            outputs.extend(self.apply_item(now, from, item)?);
        }
        self.handle_body(from, message.body, random, &mut outputs)?;
        Ok(outputs)
    }

    fn apply_item(
        &mut self,
        now: MonotonicTime,
        from: SocketAddr,
        encoded: &Bytes,
    ) -> Result<Option<Output>, CodecError> {
        match decode(encoded)? {
            Item::Member(update) => {
                let change = self.membership.apply(now, update);
                Ok(self.apply_change(now, change))
            }
            Item::Record(record) if record.key.is_content_reference() => {
                let known = self.records.get(&record.key).map(|record| record.version);
                let newer = known.is_none_or(|known| record.version > known);
                Ok(newer.then_some(Output::RecordAnnounced { record, from }))
            }
            Item::Record(record) => Ok(self
                .store(record, encoded.clone())
                .map(Output::RecordChanged)),
        }
    }

    fn handle_body<R: Rng>(
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
            } => outputs.extend(self.ping_on_behalf(sender, probe, target, from)),
            Body::Ack {
                probe,
                origin,
                node,
                incarnation,
            } => {
                if origin == self.local_member().address {
                    let known = self.membership.update(&node);
                    if known.is_some_and(|update| update.member.incarnation <= incarnation) {
                        self.prober.record_ack(&node, probe);
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
            } => self.handle_relay(seed, (low, high), &record, outputs)?,
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
        // A prober that is marked as down here is told so, so that it can refute this.
        let prober_down = self.membership.update(from);
        let prober_down = prober_down.filter(|update| update.state == MemberState::Down);
        let notice = prober_down.and_then(|update| encode_item(&Item::Member(update.clone())).ok());
        match notice {
            Some(item) => {
                let items = vec![item];
                send(sender, &Message { body, items })
            }
            None => self.send_with_piggyback(sender, body),
        }
    }

    /// Pings `target` on behalf of `origin`. No state is kept, since the ack names the origin.
    fn ping_on_behalf(
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

    fn handle_relay(
        &mut self,
        seed: u64,
        range: (u64, u64),
        encoded: &Bytes,
        outputs: &mut Vec<Output>,
    ) -> Result<(), CodecError> {
        let Item::Record(record) = decode(encoded)? else {
            return Ok(());
        };
        let known = self.records.get(&record.key).map(|record| record.version);
        if known.is_some_and(|known| known > record.version) {
            return Ok(());
        }
        // A record with the known version is forwarded as well: the tree also includes its
        // publisher and the node that relayed it into the zone, which may have to forward it.
        outputs.extend(self.relay(seed, range, encoded));
        let stored = self.store(record, encoded.clone());
        outputs.extend(stored.map(Output::RecordChanged));
        Ok(())
    }
}
