//! Delivery of calls to engines and the key-value service, and of answers to holders.

use dalestand_control::{EngineCall, LeaseGrant};
use dalestand_history::{Event, OrderLogEntry};
use dalestand_types::{GroupId, MonotonicTime, NodeId};

use super::key_value::{HolderRecord, LEASE};
use super::network::{Answer, EngineRequest, KeyValueRequest};
use super::world::{World, index_of};

impl World {
    pub(super) fn at_engine(&mut self, call: EngineCall, request: &EngineRequest) -> Answer {
        let index = index_of(&call.engine);
        let before = self.engines[index].state().clone();
        let outcome = match request {
            EngineRequest::ReadOrders => return Answer::Read(call, before),
            EngineRequest::RaiseEpoch => self.engines[index].raise_epoch(call.epoch),
            EngineRequest::SendOrder(order) => self.engines[index].submit(order),
        };
        let after = outcome.state();
        if let EngineRequest::SendOrder(order) = request
            && before.last != after.last
        {
            assert_eq!(
                before.highest_epoch, order.id.epoch,
                "an engine accepted an order whose epoch was not raised first"
            );
            let order = order.clone();
            self.log(
                index,
                OrderLogEntry::Taken {
                    at_micros: 0,
                    order,
                },
            );
        } else if before.highest_epoch < after.highest_epoch {
            let entry = OrderLogEntry::EpochRaised {
                at_micros: 0,
                incarnation: after.incarnation,
                epoch: after.highest_epoch,
            };
            self.log(index, entry);
        }
        Answer::Engine(call, outcome)
    }

    pub(super) fn at_key_value(
        &mut self,
        holder: usize,
        request: KeyValueRequest,
    ) -> Option<Answer> {
        let now = self.now;
        Some(match request {
            KeyValueRequest::Acquire { writer, sent_at } => {
                let record = self.key_value.acquire(now, writer);
                if let Some(record) = record {
                    self.record(Event::LeaseGranted {
                        group: GroupId::from("g"),
                        node: NodeId::from(format!("n{holder}")),
                        epoch: record.epoch,
                    });
                }
                Answer::Acquired(record.map(|record| grant(record, sent_at)))
            }
            KeyValueRequest::ReadBack { writer, sent_at } => {
                let record = self.key_value.record(now);
                let own = record.filter(|record| record.writer == writer);
                Answer::Acquired(own.map(|record| grant(record, sent_at)))
            }
            KeyValueRequest::Renew { lease, sent_at } if self.key_value.renew(now, lease) => {
                Answer::Renewed { lease, sent_at }
            }
            KeyValueRequest::Renew { lease, .. } => Answer::Gone { lease },
            KeyValueRequest::Release { lease } => {
                self.key_value.revoke(lease);
                return None;
            }
        })
    }

    pub(super) fn at_holder(&mut self, holder: usize, answer: Answer) {
        let now = self.now;
        let controller = &mut self.holders[holder].controller;
        match answer {
            Answer::Engine(call, outcome) => controller.engine_answered(now, &call, &outcome),
            Answer::Read(call, state) => controller.engine_read(now, &call, &state),
            Answer::EngineFailed(call) => controller.engine_failed(now, &call),
            Answer::Acquired(Some(grant)) => controller.lease_acquired(now, grant),
            Answer::Acquired(None) => controller.lease_not_acquired(now + LEASE / 2),
            Answer::Renewed { lease, sent_at } => controller.lease_renewed(lease, sent_at),
            Answer::Gone { lease } => controller.lease_gone(now, lease),
            Answer::RenewalFailed { lease } => controller.lease_renewal_failed(now, lease),
        }
    }
}

fn grant(record: HolderRecord, sent_at: MonotonicTime) -> LeaseGrant {
    LeaseGrant {
        lease: record.lease,
        epoch: record.epoch,
        sent_at,
        time_to_live: LEASE,
    }
}
