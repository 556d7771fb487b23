//! Faults and hand-overs: lost, delayed and duplicate messages, restarts of engines.

use dalestand_standin::engine::EngineOrderState;
use dalestand_types::Role;

use super::key_value::LEASE;
use super::network::{Answer, KeyValueRequest, Packet, Sent};
use super::world::{HOLDERS, World};

impl World {
    /// The message that replaces `packet` when its holder stops waiting for the answer.
    pub(super) fn after_timeout(packet: &Packet) -> Option<Packet> {
        let answer = match packet {
            Packet::Engine(call, _)
            | Packet::Holder(Answer::Engine(call, _) | Answer::Read(call, _)) => {
                Answer::EngineFailed(call.clone())
            }
            Packet::KeyValue { request, abandoned } if !abandoned => match *request {
                KeyValueRequest::Acquire { writer, sent_at } => {
                    let request = KeyValueRequest::ReadBack { writer, sent_at };
                    let abandoned = false;
                    return Some(Packet::KeyValue { request, abandoned });
                }
                KeyValueRequest::ReadBack { .. } => Answer::Acquired(None),
                KeyValueRequest::Renew { lease, .. } => Answer::RenewalFailed { lease },
                KeyValueRequest::Release { .. } => return None,
            },
            Packet::Holder(Answer::Renewed { lease, .. } | Answer::Gone { lease }) => {
                Answer::RenewalFailed { lease: *lease }
            }
            Packet::Holder(Answer::Acquired(_)) => Answer::Acquired(None),
            Packet::KeyValue { .. } | Packet::Holder(_) => return None,
        };
        Some(Packet::Holder(answer))
    }

    pub(super) fn lose(&mut self, index: usize) {
        if self.network.is_empty() {
            return;
        }
        let index = index % self.network.len();
        let holder = self.network[index].holder;
        match Self::after_timeout(&self.network[index].packet) {
            Some(packet) => self.network[index] = Sent { holder, packet },
            // A failure detected by the holder itself cannot be lost.
            None if matches!(self.network[index].packet, Packet::Holder(_)) => {}
            None => drop(self.network.remove(index)),
        }
    }

    pub(super) fn delay(&mut self, index: usize) {
        if self.network.is_empty() {
            return;
        }
        let index = index % self.network.len();
        let holder = self.network[index].holder;
        if matches!(self.network[index].packet, Packet::Holder(_)) {
            return;
        }
        if let Some(packet) = Self::after_timeout(&self.network[index].packet) {
            let mut late = self.network.remove(index);
            if let Packet::KeyValue { abandoned, .. } = &mut late.packet {
                *abandoned = true;
            }
            self.late.push(late);
            self.network.push(Sent { holder, packet });
        }
    }

    pub(super) fn arrive_late(&mut self, index: usize) {
        if self.late.is_empty() {
            return;
        }
        let sent = self.late.remove(index % self.late.len());
        self.network.push(sent);
        self.deliver(self.network.len() - 1);
    }

    pub(super) fn duplicate(&mut self, index: usize) {
        if self.network.is_empty() {
            return;
        }
        let sent = self.network[index % self.network.len()].clone();
        if matches!(
            sent.packet,
            Packet::Engine(..) | Packet::Holder(Answer::Engine(..) | Answer::Read(..))
        ) {
            self.late.push(sent);
        }
    }

    pub(super) fn restart(&mut self, engine: usize) {
        let incarnation = self.engines[engine].state().incarnation.next();
        self.engines[engine] = EngineOrderState::new(incarnation, Role::Mixed);
    }

    pub(super) fn hand_over(&mut self, holder: usize) {
        if self.holders[holder].paused {
            return;
        }
        let retry_at = self.now + LEASE;
        let grant = self.holders[holder].controller.hand_over(retry_at);
        if let Some(grant) = grant {
            let lease = grant.lease;
            let request = KeyValueRequest::Release { lease };
            let packet = Packet::KeyValue {
                request,
                abandoned: false,
            };
            self.network.push(Sent { holder, packet });
            self.holders[(holder + 1) % HOLDERS]
                .controller
                .acquire_immediately();
        }
    }
}
