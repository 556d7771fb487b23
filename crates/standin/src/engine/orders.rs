//! The engine's side of the order protocol. Pure: the server drives it.

use dalestand_types::{
    AdapterName, EngineOrders, Epoch, Incarnation, LoadedModel, ModelName, Order, OrderCommand,
    OrderOutcome, OrderPhase, OrderStatus, Role, Version,
};

/// Order state of one run of an engine.
pub struct OrderBook {
    state: EngineOrders,
}

impl OrderBook {
    /// A fresh run: no epoch seen, no order taken.
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

    /// The state as senders read it.
    pub fn state(&self) -> &EngineOrders {
        &self.state
    }

    /// Raises the highest epoch seen.
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

    /// Takes an order, or says why not.
    pub fn take(&mut self, order: &Order) -> OrderOutcome {
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
        if let Some(reason) = self.impossible(&order.command) {
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

    /// Takes the engine out of service for a role change.
    pub fn leave_service(&mut self) {
        self.state.role = None;
    }

    /// Finishes the running order.
    pub fn finish(&mut self) {
        let Some(last) = &mut self.state.last else {
            return;
        };
        last.phase = OrderPhase::Done;
        let command = last.order.command.clone();
        self.apply(command);
    }

    /// Whether the engine drains or is out of service.
    pub fn changes_role(&self) -> bool {
        self.state.last.as_ref().is_some_and(|last| {
            last.phase == OrderPhase::Running
                && matches!(last.order.command, OrderCommand::AssumeRole { .. })
        })
    }

    /// Whether a model, with an adapter where named, is loaded.
    pub fn serves(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.state.models.iter().any(|loaded| {
            loaded.model == *model && adapter.is_none_or(|name| loaded.adapters.contains(name))
        })
    }

    fn impossible(&self, command: &OrderCommand) -> Option<String> {
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
