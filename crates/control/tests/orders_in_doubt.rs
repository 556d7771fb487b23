//! An order without an answer may still be accepted by the engine. It counts as a role change, and it
//! is fenced off by a higher epoch once it is no longer wanted.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_control::{
    Action, DesiredEngine, DesiredModel, EngineCall, EngineObservation, GroupController, LeaseGrant,
};
use dalestand_standin::engine::EngineOrderState;
use dalestand_types::{
    EngineId, Epoch, GroupId, Incarnation, ModelName, MonotonicTime, Order, OrderCommand, Revision,
    Role, Version,
};

const EPOCH: Epoch = Epoch(5);
const LEASE: u64 = 1;
const INCARNATION: Incarnation = Incarnation(1);

/// Time per step; longer than the retry delay after a failed call.
const STEP: Duration = Duration::from_millis(600);

/// Steps within which the drain of an empty engine completes.
const DRAIN_STEPS: usize = 4;

/// A holder of two empty engines that answer all calls except orders.
struct Holder {
    now: MonotonicTime,
    controller: GroupController,
    engines: BTreeMap<EngineId, EngineOrderState>,
}

impl Holder {
    fn new() -> Self {
        let now = MonotonicTime::ZERO;
        let initial_state = || EngineOrderState::new(INCARNATION, Role::Mixed);
        let engines = ["e1", "e2"].map(|name| (EngineId::from(name), initial_state()));
        let mut holder = Self {
            now,
            controller: GroupController::new(GroupId::from("g"), now),
            engines: engines.into_iter().collect(),
        };
        holder.desire(&[("e1", Role::Mixed, false), ("e2", Role::Mixed, false)]);
        holder.controller.tick(now);
        let grant = LeaseGrant {
            lease: LEASE,
            epoch: EPOCH,
            sent_at: now,
            time_to_live: Duration::from_secs(1_000),
        };
        holder.controller.lease_acquired(now, grant);
        holder.step();
        holder
    }

    /// Sets the desired state of each engine: its role, and whether it serves a model.
    fn desire(&mut self, desired: &[(&str, Role, bool)]) {
        let desired = desired.iter().map(|(engine, role, serves)| {
            let model = DesiredModel {
                model: ModelName::from("m"),
                version: Version::from("1"),
                adapters: Vec::new(),
            };
            let models = serves.then_some(model).into_iter().collect();
            let role = *role;
            (EngineId::from(*engine), DesiredEngine { role, models })
        });
        let desired = desired.collect();
        self.controller
            .set_desired(self.now, Revision(1), desired, 1);
    }

    /// Advances the clock, applies a report of each engine and answers all calls except orders. Returns
    /// the orders and the other actions.
    fn step(&mut self) -> (Vec<(EngineCall, Order)>, Vec<Action>) {
        self.now = self.now + STEP;
        for engine in self.engines.keys() {
            let report = EngineObservation {
                incarnation: INCARNATION,
                role: Some(Role::Mixed),
                requests: 0,
            };
            self.controller.engine_reported(self.now, engine, &report);
        }
        let (mut orders, mut others) = (Vec::new(), Vec::new());
        for action in self.controller.tick(self.now) {
            match action {
                Action::SendOrder { call, order } => orders.push((call, order)),
                Action::RaiseEpoch { call } => {
                    let engine = self.engines.get_mut(&call.engine).expect("an engine");
                    let answer = engine.raise_epoch(call.epoch);
                    self.controller.engine_answered(self.now, &call, &answer);
                }
                other => others.push(other),
            }
        }
        (orders, others)
    }

    /// Runs until an order is sent.
    fn next_order(&mut self) -> (EngineCall, Order) {
        for _ in 0..DRAIN_STEPS {
            if let Some(order) = self.step().0.pop() {
                return order;
            }
        }
        panic!("no order was sent")
    }

    /// Records the next order, a role change of `e1`, as failed, and returns it.
    fn lose_role_order(&mut self) -> Order {
        let (call, order) = self.next_order();
        assert_eq!(call.engine, EngineId::from("e1"));
        let role = Role::Decode;
        assert_eq!(order.command, OrderCommand::AssumeRole { role });
        self.controller.engine_failed(self.now, &call);
        order
    }
}

#[test]
fn an_order_in_doubt_is_resent_with_the_same_id() {
    let mut holder = Holder::new();
    holder.desire(&[("e1", Role::Decode, false), ("e2", Role::Mixed, false)]);
    let lost = holder.lose_role_order();
    assert_eq!(holder.next_order().1, lost);
}

#[test]
fn an_unwanted_order_in_doubt_is_fenced_off() {
    let mut holder = Holder::new();
    holder.desire(&[("e1", Role::Decode, false), ("e2", Role::Mixed, false)]);
    holder.lose_role_order();
    holder.desire(&[("e1", Role::Mixed, false), ("e2", Role::Mixed, false)]);
    let actions = [holder.step().1, holder.step().1].concat();
    let release = Action::ReleaseLease { lease: LEASE };
    assert!(actions.contains(&release), "{actions:?}");
}

#[test]
fn an_order_in_doubt_counts_as_a_role_change() {
    let mut holder = Holder::new();
    holder.desire(&[("e1", Role::Decode, false), ("e2", Role::Mixed, false)]);
    holder.lose_role_order();
    // The engine should now load a model first, which does not interrupt service, but it may still
    // accept the lost order before that.
    holder.desire(&[("e1", Role::Decode, true), ("e2", Role::Decode, false)]);
    let other = EngineId::from("e2");
    for _ in 0..DRAIN_STEPS {
        let (orders, _) = holder.step();
        assert!(orders.iter().all(|(call, _)| call.engine != other));
        assert!(!holder.controller.is_draining(&other));
    }
}
