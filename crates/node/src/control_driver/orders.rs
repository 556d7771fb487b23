//! Executes the actions of the controllers.

use dalestand_control::{Action, EngineCall};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{GroupId, Order, OrderOutcome};

use super::ControlDriver;

impl ControlDriver {
    pub(super) async fn run_action(&self, group: GroupId, action: Action) {
        match action {
            Action::AcquireLease => self.acquire(&group).await,
            Action::RenewLease { lease } => self.renew(&group, lease).await,
            Action::ReleaseLease { lease } => {
                log_event!(self.shared.logger, Event::LeaseLost, "group" => %group);
                self.release(lease).await;
            }
            Action::RaiseEpoch { call } => {
                let answer = match self.client(&call.engine) {
                    Some(client) => client.raise_epoch(call.epoch).await.ok(),
                    None => None,
                };
                self.engine_answered(&group, &call, answer);
            }
            Action::ReadOrders { call } => {
                let read = match self.client(&call.engine) {
                    Some(client) => client.orders().await.ok(),
                    None => None,
                };
                let now = self.shared.clock.now();
                self.with_controller(&group, |controller| match &read {
                    Some(state) => controller.engine_read(now, &call, state),
                    None => controller.engine_failed(now, &call),
                });
            }
            Action::SendOrder { call, order } => self.send_order(&group, &call, &order).await,
        }
    }

    pub(super) async fn send_order(&self, group: &GroupId, call: &EngineCall, order: &Order) {
        // The lease may have expired since the action was created. If this node stalls after this
        // check, the engine rejects the order by its epoch.
        let valid = {
            let state = self.state.borrow();
            let controller = state.controllers.get(group);
            controller
                .and_then(|controller| controller.grant(self.shared.clock.now()))
                .is_some_and(|grant| grant.epoch == call.epoch)
        };
        let engine = &call.engine;
        let client = self.client(engine).filter(|_| valid);
        let answer = match client {
            Some(client) => client.order(order).await.ok(),
            None => None,
        };
        match &answer {
            Some(OrderOutcome::Accepted { .. }) => {
                log_event!(self.shared.logger, Event::OrderSent, "engine" => %engine,
                    "order" => %order.id, "command" => format!("{:?}", order.command));
                self.record_role_decision(group, engine, order);
            }
            Some(outcome) => {
                log_event!(self.shared.logger, Event::OrderRefused, "engine" => %engine,
                    "order" => %order.id, "outcome" => format!("{outcome:?}"));
            }
            None => {
                log_event!(self.shared.logger, Event::EngineUnresponsive, "engine" => %engine,
                    "order" => %order.id);
            }
        }
        self.engine_answered(group, call, answer);
    }

    pub(super) fn engine_answered(
        &self,
        group: &GroupId,
        call: &EngineCall,
        answer: Option<OrderOutcome>,
    ) {
        let now = self.shared.clock.now();
        self.with_controller(group, |controller| match &answer {
            Some(outcome) => controller.engine_answered(now, call, outcome),
            None => controller.engine_failed(now, call),
        });
    }
}
