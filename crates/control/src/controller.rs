//! The controller of one group.

use std::collections::BTreeMap;

use dalestand_types::{
    EngineId, EngineOrders, Epoch, GroupId, Incarnation, MonotonicTime, OrderOutcome, Revision,
    Role,
};

use crate::action::{Action, CallId, EngineCall};
use crate::desired::{DesiredEngine, next_command};
use crate::drain::interrupts_service;
use crate::engine::EngineControl;
use crate::lease::{Lease, LeaseGrant};

/// An engine's state as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineId,
    /// Order state, where it was read under the current epoch.
    pub orders: Option<EngineOrders>,
}

/// What a load report says that matters to a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineObservation {
    /// The engine's run.
    pub incarnation: Incarnation,
    /// The role it serves in; `None` while it is out of service.
    pub role: Option<Role>,
    /// Requests it holds, running and waiting.
    pub requests: u32,
}

/// Holds a group's lease and brings its engines to what is desired, one order an engine at a time.
pub struct GroupController {
    group: GroupId,
    revision: Revision,
    lease: Lease,
    desired: BTreeMap<EngineId, DesiredEngine>,
    engines: BTreeMap<EngineId, EngineControl>,
    max_changes_at_once: usize,
    last_call: CallId,
}

impl GroupController {
    /// A controller without authority.
    pub fn new(group: GroupId, acquire_not_before: MonotonicTime) -> Self {
        Self {
            group,
            revision: Revision(0),
            lease: Lease::new(acquire_not_before),
            desired: BTreeMap::new(),
            engines: BTreeMap::new(),
            max_changes_at_once: 1,
            last_call: CallId::default(),
        }
    }

    /// The group.
    pub fn group(&self) -> &GroupId {
        &self.group
    }

    /// Sets what the engines are to be.
    pub fn set_desired(
        &mut self,
        now: MonotonicTime,
        revision: Revision,
        desired: BTreeMap<EngineId, DesiredEngine>,
        max_changes_at_once: usize,
    ) {
        self.revision = revision;
        self.max_changes_at_once = max_changes_at_once;
        self.engines
            .retain(|engine, _| desired.contains_key(engine));
        for engine in desired.keys() {
            let control = self.engines.entry(engine.clone());
            control.or_insert_with(|| EngineControl::new(now));
        }
        self.desired = desired;
    }

    /// The grant, if it is valid at `now`.
    pub fn grant(&self, now: MonotonicTime) -> Option<&LeaseGrant> {
        self.lease.grant(now)
    }

    /// Whether an attempt to acquire the lease would be made at `now`.
    pub fn acquire_due(&self, now: MonotonicTime) -> bool {
        self.lease.acquire_due(now)
    }

    /// No attempt to acquire the lease before `until`: another holder was heard of, or other
    /// nodes come first.
    pub fn postpone_acquire(&mut self, until: MonotonicTime) {
        self.lease.postpone_acquire(until);
    }

    /// A holder that gives the lease up asks this node to take it at once.
    pub fn acquire_immediately(&mut self) {
        self.lease.acquire_immediately();
    }

    /// Gives authority up in a planned hand-over; not asked for again before `retry_at`.
    pub fn hand_over(&mut self, retry_at: MonotonicTime) -> Option<LeaseGrant> {
        self.lease.take(retry_at)
    }

    /// What is known of each engine.
    pub fn statuses(&self) -> Vec<EngineStatus> {
        self.engines
            .iter()
            .map(|(engine, control)| EngineStatus {
                engine: engine.clone(),
                orders: control.state().cloned(),
            })
            .collect()
    }

    /// Yields what is to be done at `now`.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<Action> {
        if self.unwanted_order_in_doubt() {
            // Only a higher epoch keeps the engine from taking it later.
            self.lease.lose(now);
        }
        let mut actions = self.lease.tick(now);
        if let Some(grant) = self.lease.grant(now) {
            let epoch = grant.epoch;
            actions.extend(self.engine_actions(now, epoch));
        }
        actions
    }

    /// The lease was granted. Nothing read under an earlier epoch counts any more.
    pub fn lease_acquired(&mut self, now: MonotonicTime, grant: LeaseGrant) {
        self.lease.acquired(grant);
        for control in self.engines.values_mut() {
            *control = EngineControl::new(now);
        }
    }

    /// The lease was not granted, or it is unknown whether it was.
    pub fn lease_not_acquired(&mut self, retry_at: MonotonicTime) {
        self.lease.not_acquired(retry_at);
    }

    /// The lease was renewed by a request sent at `sent_at`.
    pub fn lease_renewed(&mut self, lease: u64, sent_at: MonotonicTime) {
        self.lease.renewed(lease, sent_at);
    }

    /// A renewal failed without proof that the lease is gone.
    pub fn lease_renewal_failed(&mut self, now: MonotonicTime, lease: u64) {
        self.lease.renewal_failed(now, lease);
    }

    /// The service says that a lease is gone.
    pub fn lease_gone(&mut self, now: MonotonicTime, lease: u64) {
        self.lease.gone(now, lease);
    }

    /// An engine answered an order or a raised epoch.
    pub fn engine_answered(
        &mut self,
        now: MonotonicTime,
        call: &EngineCall,
        outcome: &OrderOutcome,
    ) {
        if !self.lease.holds_epoch(call.epoch) {
            return;
        }
        if outcome.state().highest_epoch > call.epoch {
            // Another holder has taken over; only a new, higher epoch can be of use here.
            self.lease.lose(now);
            return;
        }
        if let Some(control) = self.engines.get_mut(&call.engine) {
            control.answered(now, call.id, call.epoch, outcome);
        }
    }

    /// An engine's order state was read.
    pub fn engine_read(&mut self, now: MonotonicTime, call: &EngineCall, state: &EngineOrders) {
        if !self.lease.holds_epoch(call.epoch) {
            return;
        }
        if state.highest_epoch > call.epoch {
            self.lease.lose(now);
            return;
        }
        if let Some(control) = self.engines.get_mut(&call.engine) {
            control.read(now, call.id, call.epoch, state);
        }
    }

    /// An engine gave no answer: whether it took the order is unknown until it is read again.
    pub fn engine_failed(&mut self, now: MonotonicTime, call: &EngineCall) {
        if !self.lease.holds_epoch(call.epoch) {
            return;
        }
        if let Some(control) = self.engines.get_mut(&call.engine) {
            control.failed(now, call.id);
        }
    }

    /// An engine reported its run and how many requests it holds. A restarted engine is fenced
    /// and read again; one that drains is watched until it is empty.
    pub fn engine_reported(
        &mut self,
        now: MonotonicTime,
        engine: &EngineId,
        seen: &EngineObservation,
    ) {
        if let Some(control) = self.engines.get_mut(engine) {
            control.seen_in_run(seen.incarnation);
            control.reported(now, seen);
        }
    }

    /// Whether an engine is to take no new work, since an order that interrupts its service is to
    /// follow or is under way.
    pub fn is_draining(&self, engine: &EngineId) -> bool {
        self.engines
            .get(engine)
            .is_some_and(EngineControl::is_draining)
    }

    fn engine_actions(&mut self, now: MonotonicTime, epoch: Epoch) -> Vec<Action> {
        let mut actions = Vec::new();
        let engines: Vec<EngineId> = self.engines.keys().cloned().collect();
        for engine in engines {
            let may_interrupt = self.may_interrupt(now, &engine);
            actions.extend(self.engine_action(now, &engine, epoch, may_interrupt));
        }
        actions
    }

    /// Whether `engine` may go out of service: few enough others are, or may be.
    fn may_interrupt(&self, now: MonotonicTime, engine: &EngineId) -> bool {
        let others = self.engines.iter().filter(|(other, _)| *other != engine);
        let changing = others.filter(|(_, control)| control.may_be_changing(now));
        changing.count() < self.max_changes_at_once
    }

    /// Whether an engine may still take an order that is not wanted any more.
    fn unwanted_order_in_doubt(&self) -> bool {
        self.engines.iter().any(|(engine, control)| {
            let (Some(state), Some(desired)) = (control.state(), self.desired.get(engine)) else {
                return false;
            };
            control.is_in_doubt() && next_command(state, desired).is_none()
        })
    }

    fn engine_action(
        &mut self,
        now: MonotonicTime,
        engine: &EngineId,
        epoch: Epoch,
        may_interrupt: bool,
    ) -> Option<Action> {
        let control = self.engines.get_mut(engine)?;
        if !control.may_call(now) {
            return None;
        }
        let id = CallId(self.last_call.0 + 1);
        let engine = engine.clone();
        let call = EngineCall { engine, epoch, id };
        let action = match control.state() {
            None => Action::RaiseEpoch { call },
            Some(_) if control.is_busy() => Action::ReadOrders { call },
            Some(state) => {
                let desired = self.desired.get(&call.engine)?;
                let Some(command) = next_command(state, desired) else {
                    control.stop_drain();
                    return None;
                };
                if !interrupts_service(state, &command) {
                    control.stop_drain();
                } else if !may_interrupt {
                    control.stop_drain();
                    return None;
                } else if !control.drained_for(&command) {
                    return None;
                }
                let order = control.order(epoch, self.revision, command)?;
                Action::SendOrder { call, order }
            }
        };
        self.last_call = id;
        control.called(id);
        Some(action)
    }
}
