//! Engine side of the order protocol, without I/O.

use dalestand_types::{
    AdapterName, EngineOrders, Epoch, Incarnation, LoadedModel, ModelName, Order, OrderCommand,
    OrderOutcome, OrderPhase, OrderStatus, Role, Version,
};

/// Order state of one engine incarnation.
pub struct EngineOrderState {
    state: EngineOrders,
}

impl EngineOrderState {
    /// Creates the state of a new incarnation, which has seen no epoch and accepted no order.
    pub fn new(incarnation: Incarnation, role: Role) -> Self {
        let state = EngineOrders {
            incarnation,
            highest_epoch: Epoch(0),
            role: Some(role),
            last: None,
            models: Vec::new(),
        };
        Self { state }
    }

    /// The state reported to senders.
    pub fn state(&self) -> &EngineOrders {
        &self.state
    }

    /// Raises the highest epoch seen; fenced if `epoch` is lower.
    pub fn raise_epoch(&mut self, epoch: Epoch) -> OrderOutcome {
        if epoch < self.state.highest_epoch {
            return OrderOutcome::Fenced {
                state: self.state.clone(),
            };
        }
        self.state.highest_epoch = epoch;
        OrderOutcome::Accepted {
            state: self.state.clone(),
        }
    }

    /// Accepts an order or reports why it is rejected. An order equal to the last one is accepted
    /// again without effect.
    pub fn submit(&mut self, order: &Order) -> OrderOutcome {
        if order.id.epoch < self.state.highest_epoch {
            return OrderOutcome::Fenced {
                state: self.state.clone(),
            };
        }
        if order.incarnation != self.state.incarnation {
            return OrderOutcome::OtherIncarnation {
                state: self.state.clone(),
            };
        }
        if let Some(last) = &self.state.last {
            if last.order == *order {
                return OrderOutcome::Accepted {
                    state: self.state.clone(),
                };
            }
            if last.phase == OrderPhase::Running {
                return OrderOutcome::Conflict {
                    state: self.state.clone(),
                };
            }
        }
        if order.follows != self.state.last.as_ref().map(|last| last.order.id) {
            return OrderOutcome::Conflict {
                state: self.state.clone(),
            };
        }
        if let Some(reason) = self.impossible_reason(&order.command) {
            return OrderOutcome::Impossible {
                state: self.state.clone(),
                reason,
            };
        }
        self.state.highest_epoch = order.id.epoch;
        self.state.last = Some(OrderStatus {
            order: order.clone(),
            phase: OrderPhase::Running,
        });
        OrderOutcome::Accepted {
            state: self.state.clone(),
        }
    }

    /// Leaves the current role, so that the engine serves nothing during the role change.
    pub fn leave_service(&mut self) {
        self.state.role = None;
    }

    /// Marks the running order as done and applies its effect.
    pub fn finish(&mut self) {
        let Some(last) = &mut self.state.last else {
            return;
        };
        last.phase = OrderPhase::Done;
        let command = last.order.command.clone();
        self.apply(command);
    }

    /// Whether a role change is running: the engine is draining or out of service.
    pub fn is_changing_role(&self) -> bool {
        self.state.last.as_ref().is_some_and(|last| {
            last.phase == OrderPhase::Running
                && matches!(last.order.command, OrderCommand::AssumeRole { .. })
        })
    }

    /// Whether `model` is loaded, with `adapter` if one is given.
    pub fn serves(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.state.models.iter().any(|loaded| {
            loaded.model == *model && adapter.is_none_or(|name| loaded.adapters.contains(name))
        })
    }

    fn impossible_reason(&self, command: &OrderCommand) -> Option<String> {
        let OrderCommand::LoadAdapter { model, .. } = command else {
            return None;
        };
        if self.serves(model, None) {
            None
        } else {
            Some(format!("model {model} is not loaded"))
        }
    }

    fn apply(&mut self, command: OrderCommand) {
        match command {
            OrderCommand::AssumeRole { role } => self.state.role = Some(role),
            OrderCommand::LoadModel { model, version } => self.load_model(model, version),
            OrderCommand::UnloadModel { model } => {
                self.state.models.retain(|loaded| loaded.model != model);
            }
            OrderCommand::LoadAdapter { model, adapter, .. } => {
                if let Some(loaded) = self.loaded_mut(&model)
                    && !loaded.adapters.contains(&adapter)
                {
                    loaded.adapters.push(adapter);
                }
            }
            OrderCommand::UnloadAdapter { model, adapter } => {
                if let Some(loaded) = self.loaded_mut(&model) {
                    loaded.adapters.retain(|name| *name != adapter);
                }
            }
        }
    }

    fn load_model(&mut self, model: ModelName, version: Version) {
        match self.loaded_mut(&model) {
            Some(loaded) => loaded.version = version,
            None => self.state.models.push(LoadedModel {
                model,
                version,
                adapters: Vec::new(),
            }),
        }
    }

    fn loaded_mut(&mut self, model: &ModelName) -> Option<&mut LoadedModel> {
        self.state
            .models
            .iter_mut()
            .find(|loaded| loaded.model == *model)
    }
}
