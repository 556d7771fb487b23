//! Controller of one engine group.

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

/// Status of an engine for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// Name of the engine.
    pub engine: EngineId,
    /// Order state; `None` until it is read under the current epoch.
    pub orders: Option<EngineOrders>,
}

/// The parts of a load report that a controller uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineObservation {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Role in which the engine serves; `None` while out of service.
    pub role: Option<Role>,
    /// Running and waiting requests.
    pub requests: u32,
}

/// Holds the lease of a group and moves its engines to their desired state, with at most one order in
/// progress per engine.
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
    /// A controller without a lease.
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

    /// Id of the group.
    pub fn group(&self) -> &GroupId {
        &self.group
    }

    /// Sets the desired state of the engines.
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

    /// The lease grant, if valid at `now`.
    pub fn grant(&self, now: MonotonicTime) -> Option<&LeaseGrant> {
        self.lease.grant(now)
    }

    /// Whether an attempt to acquire the lease is due at `now`.
    pub fn acquire_due(&self, now: MonotonicTime) -> bool {
        self.lease.acquire_due(now)
    }

    /// Postpones the next attempt to acquire the lease to `until` or later, because another node holds it
    /// or is to try first.
    pub fn postpone_acquire(&mut self, until: MonotonicTime) {
        self.lease.postpone_acquire(until);
    }

    /// Makes an attempt to acquire the lease due at once, at the request of its previous holder.
    pub fn acquire_immediately(&mut self) {
        self.lease.acquire_immediately();
    }

    /// Gives up the lease for a planned hand-over and returns its grant. The lease is not acquired again
    /// before `retry_at`.
    pub fn hand_over(&mut self, retry_at: MonotonicTime) -> Option<LeaseGrant> {
        self.lease.hand_over(retry_at)
    }

    /// Status of each engine.
    pub fn statuses(&self) -> Vec<EngineStatus> {
        self.engines
            .iter()
            .map(|(engine, control)| EngineStatus {
                engine: engine.clone(),
                orders: control.state().cloned(),
            })
            .collect()
    }

    /// Returns the actions due at `now`.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<Action> {
        if self.has_unwanted_order_in_doubt() {
            // The engine may still accept the order; only a higher epoch prevents that.
            self.lease.relinquish(now);
        }
        let mut actions = self.lease.tick(now);
        if let Some(grant) = self.lease.grant(now) {
            let epoch = grant.epoch;
            actions.extend(self.engine_actions(now, epoch));
        }
        actions
    }

    /// Records the grant of the lease. State read under an earlier epoch is discarded.
    pub fn lease_acquired(&mut self, now: MonotonicTime, grant: LeaseGrant) {
        self.lease.acquired(grant);
        for control in self.engines.values_mut() {
            *control = EngineControl::new(now);
        }
    }

    /// Records that the lease was not granted, or that the outcome is unknown.
    pub fn lease_not_acquired(&mut self, retry_at: MonotonicTime) {
        self.lease.not_acquired(retry_at);
    }

    /// Records a renewal by a request sent at `sent_at`.
    pub fn lease_renewed(&mut self, lease: u64, sent_at: MonotonicTime) {
        self.lease.renewed(lease, sent_at);
    }

    /// Records a failed renewal; the lease may still exist.
    pub fn lease_renewal_failed(&mut self, now: MonotonicTime, lease: u64) {
        self.lease.renewal_failed(now, lease);
    }

    /// Records that a lease no longer exists at the key-value service.
    pub fn lease_gone(&mut self, now: MonotonicTime, lease: u64) {
        self.lease.gone(now, lease);
    }

    /// Applies the answer of an engine to an order or a raised epoch.
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
            // Another holder has taken over. This node needs a new, higher epoch to continue.
            self.lease.relinquish(now);
            return;
        }
        if let Some(control) = self.engines.get_mut(&call.engine) {
            control.apply_outcome(now, call.id, call.epoch, outcome);
        }
    }

    /// Applies the order state of an engine.
    pub fn engine_read(&mut self, now: MonotonicTime, call: &EngineCall, state: &EngineOrders) {
        if !self.lease.holds_epoch(call.epoch) {
            return;
        }
        if state.highest_epoch > call.epoch {
            self.lease.relinquish(now);
            return;
        }
        if let Some(control) = self.engines.get_mut(&call.engine) {
            control.apply_state(now, call.id, call.epoch, state);
        }
    }

    /// Records that an engine did not answer. Whether it accepted an order is unknown until its state is
    /// read again.
    pub fn engine_failed(&mut self, now: MonotonicTime, call: &EngineCall) {
        if !self.lease.holds_epoch(call.epoch) {
            return;
        }
        if let Some(control) = self.engines.get_mut(&call.engine) {
            control.record_failure(now, call.id);
        }
    }

    /// Applies a load report. A restarted engine is fenced and read again; a draining engine is checked
    /// for remaining requests.
    pub fn engine_reported(
        &mut self,
        now: MonotonicTime,
        engine: &EngineId,
        report: &EngineObservation,
    ) {
        if let Some(control) = self.engines.get_mut(engine) {
            control.observe_incarnation(report.incarnation);
            control.apply_report(now, report);
        }
    }

    /// Whether an engine should get no new requests, because an order that interrupts its service is in
    /// preparation or in progress.
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

    /// Whether `engine` may go out of service, given how many others are or may be.
    fn may_interrupt(&self, now: MonotonicTime, engine: &EngineId) -> bool {
        let others = self.engines.iter().filter(|(other, _)| *other != engine);
        let changing = others.filter(|(_, control)| control.may_be_changing(now));
        changing.count() < self.max_changes_at_once
    }

    /// Whether an engine may still accept an order that is no longer wanted.
    fn has_unwanted_order_in_doubt(&self) -> bool {
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
            Some(_) if control.is_executing() => Action::ReadOrders { call },
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
                } else if !control.continue_drain(&command) {
                    return None;
                }
                let order = control.next_order(epoch, self.revision, command)?;
                Action::SendOrder { call, order }
            }
        };
        self.last_call = id;
        control.record_call(id);
        Some(action)
    }
}
