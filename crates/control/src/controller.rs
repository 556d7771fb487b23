//! The controller of one group.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_types::{
    AdapterName, EngineId, EngineOrders, Epoch, GroupId, LoadedModel, ModelName, MonotonicTime,
    Order, OrderCommand, OrderId, OrderOutcome, OrderPhase, Revision, Role, Version,
};

use crate::authority::{Authority, LeaseGrant};

/// Pause before an engine that did not answer is called again.
const ENGINE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Renewals within one time to live.
const RENEWALS_PER_LEASE: u32 = 3;

/// A model an engine is to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredModel {
    /// The model.
    pub model: ModelName,
    /// Version of its weights.
    pub version: Version,
    /// Its adapters with their versions.
    pub adapters: Vec<(AdapterName, Version)>,
}

/// What an engine is to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredEngine {
    /// Role to serve in.
    pub role: Role,
    /// Models to serve.
    pub models: Vec<DesiredModel>,
}

/// What the driver is to do. Each action's result is reported back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the key-value service for the group's lease.
    AcquireLease,
    /// Renew the lease.
    RenewLease { lease: u64 },
    /// Raise the epoch on an engine and read its order state back.
    RaiseEpoch { engine: EngineId, epoch: Epoch },
    /// Read an engine's order state.
    ReadOrders { engine: EngineId, epoch: Epoch },
    /// Give an engine an order.
    SendOrder { engine: EngineId, order: Order },
}

/// What the controller knows of one engine.
#[derive(Clone, Debug, Default)]
struct EngineControl {
    /// Order state read under the current epoch; `None` until the engine is fenced.
    state: Option<EngineOrders>,
    /// Whether an action's result is awaited.
    awaiting: bool,
    /// Not to be called before this time.
    not_before: MonotonicTime,
    /// Number of the next order under the current epoch.
    next_number: u64,
}

/// An engine's state as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineId,
    /// Order state, where it was read under the current epoch.
    pub orders: Option<EngineOrders>,
}

/// Holds a group's lease and brings its engines to what is desired, one order an engine at a time.
pub struct GroupController {
    group: GroupId,
    revision: Revision,
    authority: Authority,
    renewing: bool,
    acquire_not_before: MonotonicTime,
    desired: BTreeMap<EngineId, DesiredEngine>,
    engines: BTreeMap<EngineId, EngineControl>,
    max_changes_at_once: usize,
}

impl GroupController {
    /// A controller without authority.
    pub fn new(group: GroupId, acquire_not_before: MonotonicTime) -> Self {
        Self {
            group,
            revision: Revision(0),
            authority: Authority::None,
            renewing: false,
            acquire_not_before,
            desired: BTreeMap::new(),
            engines: BTreeMap::new(),
            max_changes_at_once: 1,
        }
    }

    /// The group.
    pub fn group(&self) -> &GroupId {
        &self.group
    }

    /// Sets what the engines are to be.
    pub fn set_desired(
        &mut self,
        revision: Revision,
        desired: BTreeMap<EngineId, DesiredEngine>,
        max_changes_at_once: usize,
    ) {
        self.revision = revision;
        self.max_changes_at_once = max_changes_at_once;
        self.engines
            .retain(|engine, _| desired.contains_key(engine));
        for engine in desired.keys() {
            self.engines.entry(engine.clone()).or_default();
        }
        self.desired = desired;
    }

    /// The grant, if it is valid at `now`.
    pub fn grant(&self, now: MonotonicTime) -> Option<&LeaseGrant> {
        self.authority.valid(now)
    }

    /// Notes that another holder was heard of: no attempt before `until`.
    pub fn holder_heard(&mut self, until: MonotonicTime) {
        self.acquire_not_before = self.acquire_not_before.max(until);
    }

    /// What is known of each engine.
    pub fn statuses(&self) -> Vec<EngineStatus> {
        self.engines
            .iter()
            .map(|(engine, control)| EngineStatus {
                engine: engine.clone(),
                orders: control.state.clone(),
            })
            .collect()
    }

    /// Yields what is to be done at `now`.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<Action> {
        match self.authority {
            Authority::Acquiring => Vec::new(),
            Authority::None if now >= self.acquire_not_before => {
                self.authority = Authority::Acquiring;
                vec![Action::AcquireLease]
            }
            Authority::None => Vec::new(),
            Authority::Held(grant) if now >= grant.valid_until() => {
                self.lease_lost(now);
                Vec::new()
            }
            Authority::Held(grant) => {
                let mut actions = Vec::new();
                if !self.renewing && now >= grant.sent_at + grant.time_to_live / RENEWALS_PER_LEASE
                {
                    self.renewing = true;
                    actions.push(Action::RenewLease { lease: grant.lease });
                }
                actions.extend(self.engine_actions(now, grant.epoch));
                actions
            }
        }
    }

    /// The lease was granted. The epoch must be higher than any before.
    pub fn lease_acquired(&mut self, grant: LeaseGrant) {
        self.authority = Authority::Held(grant);
        self.renewing = false;
        for control in self.engines.values_mut() {
            *control = EngineControl::default();
        }
    }

    /// The lease was not granted, or it is unknown whether it was.
    pub fn lease_not_acquired(&mut self, retry_at: MonotonicTime) {
        self.authority = Authority::None;
        self.acquire_not_before = self.acquire_not_before.max(retry_at);
    }

    /// The lease was renewed by a request sent at `sent_at`.
    pub fn lease_renewed(&mut self, lease: u64, sent_at: MonotonicTime) {
        self.renewing = false;
        if let Authority::Held(grant) = &mut self.authority
            && grant.lease == lease
        {
            grant.sent_at = grant.sent_at.max(sent_at);
        }
    }

    /// A renewal failed without proof that the lease is gone.
    pub fn lease_renewal_failed(&mut self) {
        self.renewing = false;
    }

    /// The lease is gone.
    pub fn lease_lost(&mut self, now: MonotonicTime) {
        self.authority = Authority::None;
        self.renewing = false;
        self.acquire_not_before = self.acquire_not_before.max(now);
    }

    /// An engine answered an order or a raised epoch given under `epoch`.
    pub fn engine_answered(
        &mut self,
        now: MonotonicTime,
        engine: &EngineId,
        epoch: Epoch,
        outcome: &OrderOutcome,
    ) {
        if !self.holds_epoch(epoch) {
            return;
        }
        if matches!(outcome, OrderOutcome::Fenced { .. }) {
            self.lease_lost(now);
            return;
        }
        self.engine_read(now, engine, epoch, outcome.state());
    }

    /// An engine's order state was read under `epoch`.
    pub fn engine_read(
        &mut self,
        now: MonotonicTime,
        engine: &EngineId,
        epoch: Epoch,
        state: &EngineOrders,
    ) {
        if !self.holds_epoch(epoch) {
            return;
        }
        let Some(control) = self.engines.get_mut(engine) else {
            return;
        };
        control.awaiting = false;
        // A restarted engine has forgotten the epoch: it must be fenced again.
        control.state = (state.highest_epoch >= epoch).then(|| state.clone());
        if let Some(last) = &state.last
            && last.phase == OrderPhase::Running
        {
            control.not_before = now + ENGINE_RETRY_PAUSE;
        }
        if let Some(last) = &state.last
            && last.order.id.epoch == epoch
        {
            control.next_number = control.next_number.max(last.order.id.number + 1);
        }
    }

    /// An engine gave no answer: whether it took the order is unknown until it is read again.
    pub fn engine_failed(&mut self, now: MonotonicTime, engine: &EngineId, epoch: Epoch) {
        if !self.holds_epoch(epoch) {
            return;
        }
        if let Some(control) = self.engines.get_mut(engine) {
            control.awaiting = false;
            control.state = None;
            control.not_before = now + ENGINE_RETRY_PAUSE;
        }
    }

    fn holds_epoch(&self, epoch: Epoch) -> bool {
        matches!(self.authority, Authority::Held(grant) if grant.epoch == epoch)
    }

    fn engine_actions(&mut self, now: MonotonicTime, epoch: Epoch) -> Vec<Action> {
        let mut changes = self.changes_under_way();
        let mut actions = Vec::new();
        for (engine, control) in &mut self.engines {
            if control.awaiting || now < control.not_before {
                continue;
            }
            let Some(state) = &control.state else {
                control.awaiting = true;
                actions.push(Action::RaiseEpoch {
                    engine: engine.clone(),
                    epoch,
                });
                continue;
            };
            let unfinished = state
                .last
                .as_ref()
                .is_some_and(|last| last.phase == OrderPhase::Running);
            if unfinished {
                control.awaiting = true;
                actions.push(Action::ReadOrders {
                    engine: engine.clone(),
                    epoch,
                });
                continue;
            }
            let Some(command) = self
                .desired
                .get(engine)
                .and_then(|desired| next_command(state, desired))
            else {
                continue;
            };
            if matches!(command, OrderCommand::AssumeRole { .. }) {
                if changes >= self.max_changes_at_once {
                    continue;
                }
                changes += 1;
            }
            let order = Order {
                id: OrderId {
                    epoch,
                    number: control.next_number,
                },
                follows: state.last.as_ref().map(|last| last.order.id),
                incarnation: state.incarnation,
                revision: self.revision,
                command,
            };
            control.next_number += 1;
            control.awaiting = true;
            actions.push(Action::SendOrder {
                engine: engine.clone(),
                order,
            });
        }
        actions
    }

    /// Engines that are out of service for a role change, or may be: those not yet read count.
    fn changes_under_way(&self) -> usize {
        self.engines
            .values()
            .filter(|control| may_be_changing(control))
            .count()
    }
}

fn may_be_changing(control: &EngineControl) -> bool {
    let Some(last) = control.state.as_ref().and_then(|state| state.last.as_ref()) else {
        return false;
    };
    last.phase == OrderPhase::Running
        && matches!(last.order.command, OrderCommand::AssumeRole { .. })
}

/// The next order that brings an engine closer to what is desired.
fn next_command(state: &EngineOrders, desired: &DesiredEngine) -> Option<OrderCommand> {
    for wanted in &desired.models {
        let loaded = state
            .models
            .iter()
            .find(|loaded| loaded.model == wanted.model);
        match loaded {
            Some(loaded) if loaded.version == wanted.version => {
                if let Some(command) = missing_adapter(loaded, wanted) {
                    return Some(command);
                }
            }
            _ => {
                let model = wanted.model.clone();
                let version = wanted.version.clone();
                return Some(OrderCommand::LoadModel { model, version });
            }
        }
    }
    let unwanted = state.models.iter().find(|loaded| {
        desired
            .models
            .iter()
            .all(|wanted| wanted.model != loaded.model)
    });
    if let Some(loaded) = unwanted {
        return Some(OrderCommand::UnloadModel {
            model: loaded.model.clone(),
        });
    }
    (state.role != Some(desired.role)).then_some(OrderCommand::AssumeRole { role: desired.role })
}

fn missing_adapter(loaded: &LoadedModel, wanted: &DesiredModel) -> Option<OrderCommand> {
    let (adapter, version) = wanted
        .adapters
        .iter()
        .find(|(name, _)| !loaded.adapters.contains(name))?;
    Some(OrderCommand::LoadAdapter {
        model: wanted.model.clone(),
        adapter: adapter.clone(),
        version: version.clone(),
    })
}
