//! An order that was given up for lost may still be taken: it counts as a role change, and is fenced
//! off by a higher epoch once it is not wanted any more.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_control::{
    Action, DesiredEngine, DesiredModel, EngineCall, EngineObservation, GroupController, LeaseGrant,
};
use dalestand_standin::engine::OrderBook;
use dalestand_types::{
    EngineId, Epoch, GroupId, Incarnation, ModelName, MonotonicTime, Order, OrderCommand, Revision,
    Role, Version,
};

const EPOCH: Epoch = Epoch(5);
const LEASE: u64 = 1;
const RUN: Incarnation = Incarnation(1);

/// Time between two looks; longer than the pause after a failed call.
const STEP: Duration = Duration::from_millis(600);

/// Looks after which a drain of an empty engine is over.
const DRAIN_STEPS: usize = 4;

/// One holder of two empty engines, which answer everything but orders.
struct Holder {
    now: MonotonicTime,
    controller: GroupController,
    engines: BTreeMap<EngineId, OrderBook>,
}

impl Holder {
    fn new() -> Self {
        let now = MonotonicTime::ZERO;
        let book = || OrderBook::new(RUN, Role::Mixed);
        let engines = ["e1", "e2"].map(|name| (EngineId::from(name), book()));
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

    /// What each engine is to be: its role, and whether it is to serve a model.
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

    /// Passes time, takes a report of each engine, and answers every call but orders. Yields the
    /// orders and the other actions.
    fn step(&mut self) -> (Vec<(EngineCall, Order)>, Vec<Action>) {
        self.now = self.now + STEP;
        for engine in self.engines.keys() {
            let seen = EngineObservation {
                incarnation: RUN,
                role: Some(Role::Mixed),
                requests: 0,
            };
            self.controller.engine_reported(self.now, engine, &seen);
        }
        let (mut orders, mut others) = (Vec::new(), Vec::new());
        for action in self.controller.tick(self.now) {
            match action {
                Action::SendOrder { call, order } => orders.push((call, order)),
                Action::RaiseEpoch { call } => {
                    let book = self.engines.get_mut(&call.engine).expect("an engine");
                    let answer = book.raise_epoch(call.epoch);
                    self.controller.engine_answered(self.now, &call, &answer);
                }
                other => others.push(other),
            }
        }
        (orders, others)
    }

    /// Goes on until an order is given.
    fn next_order(&mut self) -> (EngineCall, Order) {
        for _ in 0..DRAIN_STEPS {
            if let Some(order) = self.step().0.pop() {
                return order;
            }
        }
        panic!("no order was given")
    }

    /// Gives the last order to `e1` up for lost, and reads the engine again.
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
fn an_order_in_doubt_is_given_again_under_its_own_id() {
    let mut holder = Holder::new();
    holder.desire(&[("e1", Role::Decode, false), ("e2", Role::Mixed, false)]);
    let lost = holder.lose_role_order();
    assert_eq!(holder.next_order().1, lost);
}

#[test]
fn an_order_in_doubt_that_is_not_wanted_any_more_is_fenced_off() {
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
    // The engine is now to load a model first, which interrupts nothing, while the lost order may
    // still be taken before that.
    holder.desire(&[("e1", Role::Decode, true), ("e2", Role::Decode, false)]);
    let other = EngineId::from("e2");
    for _ in 0..DRAIN_STEPS {
        let (orders, _) = holder.step();
        assert!(orders.iter().all(|(call, _)| call.engine != other));
        assert!(!holder.controller.is_draining(&other));
    }
}
