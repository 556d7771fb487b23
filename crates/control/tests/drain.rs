//! An order that interrupts service is sent only after the engine has been empty for a while, and the
//! engine is marked as draining until then.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_control::{
    Action, DesiredEngine, DesiredModel, EngineObservation, GroupController, LeaseGrant,
};
use dalestand_types::{
    EngineId, EngineOrders, Epoch, GroupId, Incarnation, LoadedModel, ModelName, MonotonicTime,
    OrderCommand, OrderOutcome, Revision, Role, Version,
};

const EPOCH: Epoch = Epoch(7);
const INCARNATION: Incarnation = Incarnation(1);

/// A holder that has read the state of its engines under its epoch.
struct Holder {
    now: MonotonicTime,
    controller: GroupController,
    engines: Vec<EngineId>,
}

impl Holder {
    fn new(engines: &[&str]) -> Self {
        let now = MonotonicTime::from_millis(1_000);
        let mut holder = Self {
            now,
            controller: GroupController::new(GroupId::from("p@z"), now),
            engines: engines.iter().map(|name| EngineId::from(*name)).collect(),
        };
        holder.desire(Role::Mixed, "1");
        holder.controller.tick(now);
        holder.controller.lease_acquired(
            now,
            LeaseGrant {
                lease: 1,
                epoch: EPOCH,
                sent_at: now,
                time_to_live: Duration::from_secs(1_000),
            },
        );
        let calls: Vec<_> = holder
            .controller
            .tick(now)
            .into_iter()
            .filter_map(|action| match action {
                Action::RaiseEpoch { call } => Some(call),
                _ => None,
            })
            .collect();
        for call in calls {
            let state = serving_state(Role::Mixed, "1");
            let outcome = OrderOutcome::Accepted { state };
            holder.controller.engine_answered(now, &call, &outcome);
        }
        holder
    }

    fn desire(&mut self, role: Role, version: &str) {
        let model = DesiredModel {
            model: ModelName::from("m"),
            version: Version::from(version),
            adapters: Vec::new(),
        };
        let desired = DesiredEngine {
            role,
            models: vec![model],
        };
        let engines = self.engines.iter();
        let desired: BTreeMap<_, _> = engines
            .map(|engine| (engine.clone(), desired.clone()))
            .collect();
        let revision = Revision(1);
        self.controller.set_desired(self.now, revision, desired, 1);
    }

    /// Advances the clock and applies a report of `requests` requests from each engine. Returns the
    /// resulting orders.
    fn report(&mut self, after_ms: u64, requests: u32) -> Vec<OrderCommand> {
        self.now = self.now + Duration::from_millis(after_ms);
        for engine in &self.engines {
            let report = EngineObservation {
                incarnation: INCARNATION,
                role: Some(Role::Mixed),
                requests,
            };
            self.controller.engine_reported(self.now, engine, &report);
        }
        self.orders()
    }

    fn orders(&mut self) -> Vec<OrderCommand> {
        let actions = self.controller.tick(self.now).into_iter();
        let orders = actions.filter_map(|action| match action {
            Action::SendOrder { order, .. } => Some(order.command),
            _ => None,
        });
        orders.collect()
    }

    fn draining(&self) -> usize {
        let engines = self.engines.iter();
        engines
            .filter(|engine| self.controller.is_draining(engine))
            .count()
    }
}

fn serving_state(role: Role, version: &str) -> EngineOrders {
    EngineOrders {
        incarnation: INCARNATION,
        highest_epoch: EPOCH,
        role: Some(role),
        last: None,
        models: vec![LoadedModel {
            model: ModelName::from("m"),
            version: Version::from(version),
            adapters: Vec::new(),
        }],
    }
}

#[test]
fn a_role_order_waits_until_the_engine_has_been_empty_for_a_while() {
    let mut holder = Holder::new(&["e"]);
    holder.desire(Role::Decode, "1");
    assert_eq!(holder.orders(), []);
    assert_eq!(holder.draining(), 1);
    assert_eq!(holder.report(60_000, 3), []);
    assert_eq!(holder.report(500, 0), []);
    assert_eq!(
        holder.report(500, 1),
        [],
        "a late request restarts the wait"
    );
    assert_eq!(holder.report(500, 0), []);
    assert_eq!(holder.report(900, 0), []);
    let role = Role::Decode;
    assert_eq!(holder.report(100, 0), [OrderCommand::AssumeRole { role }]);
    assert_eq!(
        holder.draining(),
        1,
        "no new requests until the order is complete"
    );
}

#[test]
fn an_engine_without_reports_does_not_count_as_empty() {
    let mut holder = Holder::new(&["e"]);
    holder.desire(Role::Decode, "1");
    assert_eq!(holder.orders(), []);
    assert_eq!(holder.report(100, 0), []);
    holder.now = holder.now + Duration::from_secs(60);
    assert_eq!(holder.orders(), []);
}

#[test]
fn no_more_engines_drain_at_once_than_may_change() {
    let mut holder = Holder::new(&["e1", "e2", "e3"]);
    holder.desire(Role::Decode, "1");
    assert_eq!(holder.orders(), []);
    assert_eq!(holder.draining(), 1);
    holder.report(100, 5);
    assert_eq!(holder.draining(), 1);
}

#[test]
fn a_drain_ends_when_the_change_is_no_longer_wanted() {
    let mut holder = Holder::new(&["e"]);
    holder.desire(Role::Decode, "1");
    holder.report(100, 2);
    assert_eq!(holder.draining(), 1);
    holder.desire(Role::Mixed, "1");
    assert_eq!(holder.report(100, 0), []);
    assert_eq!(holder.draining(), 0);
}

#[test]
fn a_new_version_of_a_served_model_is_loaded_on_one_engine_at_a_time() {
    let mut holder = Holder::new(&["e1", "e2"]);
    holder.desire(Role::Mixed, "2");
    assert_eq!(holder.orders(), []);
    assert_eq!(holder.draining(), 1);
    assert_eq!(holder.report(100, 0), []);
    let orders = holder.report(1_000, 0);
    let model = ModelName::from("m");
    let version = Version::from("2");
    assert_eq!(orders, [OrderCommand::LoadModel { model, version }]);
}
