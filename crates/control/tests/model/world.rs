//! State of the model; applies steps and checks invariants after each.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_control::{Action, DesiredEngine, EngineObservation, GroupController};
use dalestand_history::checks::{no_conflicting_orders, no_stale_orders};
use dalestand_history::{
    EngineLogEntry, EngineLogLine, Event, History, OrderLogEntry, RecordedEvent,
};
use dalestand_standin::engine::EngineOrderState;
use dalestand_types::{
    EngineId, GroupId, Incarnation, MonotonicTime, Order, OrderPhase, Revision, Role,
};

use super::key_value::KeyValueModel;
use super::network::{Answer, EngineRequest, KeyValueRequest, Packet, Sent};

/// Nodes that try to hold the group.
pub const HOLDERS: usize = 3;

/// Engines of the group.
pub const ENGINES: usize = 3;

/// Maximum simultaneous role changes.
const MAX_CHANGES: usize = 1;

/// Fault-free rounds within which all engines must reach their desired state.
const RECOVERY_ROUNDS: usize = 80;

/// Duration of a round.
const ROUND_DURATION: Duration = Duration::from_millis(250);

/// Time after which an engine that reports no requests counts as drained.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// One step of a run. Indices wrap around the number of items.
#[derive(Clone, Debug)]
pub enum Step {
    /// Advances the clock, in milliseconds.
    Advance(u16),
    Tick(usize),
    Deliver(usize),
    /// A message is lost; the holder that waits for its answer times out.
    Lose(usize),
    /// The holder that waits for the answer times out, and the message arrives later.
    Delay(usize),
    /// A copy of a message arrives later.
    Duplicate(usize),
    /// A delayed message or copy arrives.
    ArriveLate(usize),
    Pause(usize),
    Resume(usize),
    Finish(usize),
    Restart(usize),
    Desire(usize),
    HandOver(usize),
    /// A round without faults: time advances, all running holders tick, and all messages are delivered.
    Round,
}

pub(super) struct Holder {
    pub(super) controller: GroupController,
    pub(super) paused: bool,
}

/// Complete state of the model.
pub struct World {
    pub(super) now: MonotonicTime,
    pub(super) key_value: KeyValueModel,
    pub(super) holders: Vec<Holder>,
    pub(super) engines: Vec<EngineOrderState>,
    pub(super) network: Vec<Sent>,
    pub(super) late: Vec<Sent>,
    pub(super) history: History,
    pub(super) next_writer: u64,
    pub(super) revision: u64,
    pub(super) role: Role,
}

pub(super) fn engine_id(index: usize) -> EngineId {
    EngineId::from(format!("e{index}"))
}

pub(super) fn index_of(engine: &EngineId) -> usize {
    let digits = engine.as_str().trim_start_matches('e');
    digits.parse().expect("a model engine's name")
}

impl World {
    /// No holder, and engines in their initial state.
    pub fn new() -> Self {
        let holder = |_| Holder {
            controller: GroupController::new(GroupId::from("g"), MonotonicTime::ZERO),
            paused: false,
        };
        let mut world = Self {
            now: MonotonicTime::ZERO,
            key_value: KeyValueModel::default(),
            holders: (0..HOLDERS).map(holder).collect(),
            engines: (0..ENGINES)
                .map(|_| EngineOrderState::new(Incarnation(1), Role::Mixed))
                .collect(),
            network: Vec::new(),
            late: Vec::new(),
            history: History::default(),
            next_writer: 0,
            revision: 0,
            role: Role::Mixed,
        };
        world.desire(Role::Decode);
        world
    }

    /// Applies one step and checks the invariants.
    pub fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance(milliseconds) => {
                self.now = self.now + Duration::from_millis(u64::from(milliseconds));
            }
            Step::Tick(holder) => self.tick(holder % HOLDERS),
            Step::Deliver(index) => self.deliver(index),
            Step::Lose(index) => self.lose(index),
            Step::Delay(index) => self.delay(index),
            Step::Duplicate(index) => self.duplicate(index),
            Step::ArriveLate(index) => self.arrive_late(index),
            Step::Pause(holder) => self.holders[holder % HOLDERS].paused = true,
            Step::Resume(holder) => self.holders[holder % HOLDERS].paused = false,
            Step::Finish(engine) => self.finish(engine % ENGINES),
            Step::Restart(engine) => self.restart(engine % ENGINES),
            Step::Desire(role) => self.desire(Role::ALL[role % Role::ALL.len()]),
            Step::HandOver(holder) => self.hand_over(holder % HOLDERS),
            Step::Round => self.round(),
        }
        self.check_changes_at_once();
    }

    /// Checks the history of the whole run.
    pub fn check_history(&self) {
        assert_eq!(no_conflicting_orders(&self.history), Ok(()));
        assert_eq!(no_stale_orders(&self.history), Ok(()));
    }

    /// Runs without faults and checks that every engine reaches its desired state.
    pub fn check_recovery(&mut self) {
        for holder in &mut self.holders {
            holder.paused = false;
        }
        self.converge();
        for engine in 0..ENGINES {
            self.restart(engine);
        }
        self.converge();
        while !self.late.is_empty() {
            self.arrive_late(0);
            self.check_changes_at_once();
        }
        self.converge();
        let now = self.now;
        let held = self.holders.iter().map(|one| one.controller.grant(now));
        assert_eq!(
            held.flatten().count(),
            1,
            "one node holds the lease of the group"
        );
    }

    pub(super) fn converge(&mut self) {
        for _ in 0..RECOVERY_ROUNDS {
            self.round();
            for engine in 0..ENGINES {
                self.finish(engine);
            }
            self.check_changes_at_once();
        }
        let roles: Vec<_> = self
            .engines
            .iter()
            .map(|engine| engine.state().role)
            .collect();
        assert_eq!(
            roles,
            vec![Some(self.role); ENGINES],
            "every engine in its desired role"
        );
    }

    pub(super) fn round(&mut self) {
        self.now = self.now + ROUND_DURATION;
        for holder in 0..HOLDERS {
            self.tick(holder);
        }
        for _ in 0..self.network.len() {
            self.deliver(0);
        }
    }

    pub(super) fn desire(&mut self, role: Role) {
        self.role = role;
        self.revision += 1;
        let models = Vec::new();
        let desired = DesiredEngine { role, models };
        let desired: BTreeMap<_, _> = (0..ENGINES)
            .map(|engine| (engine_id(engine), desired.clone()))
            .collect();
        for holder in &mut self.holders {
            holder.controller.set_desired(
                self.now,
                Revision(self.revision),
                desired.clone(),
                MAX_CHANGES,
            );
        }
    }

    pub(super) fn report(&mut self, holder: usize, at: MonotonicTime) {
        for (index, engine) in self.engines.iter().enumerate() {
            let state = engine.state();
            let report = EngineObservation {
                incarnation: state.incarnation,
                role: state.role.filter(|_| !engine.is_changing_role()),
                requests: 0,
            };
            let controller = &mut self.holders[holder].controller;
            controller.engine_reported(at, &engine_id(index), &report);
        }
    }

    pub(super) fn tick(&mut self, holder: usize) {
        if self.holders[holder].paused {
            return;
        }
        self.report(holder, self.now);
        let mut actions = self.holders[holder].controller.tick(self.now);
        // Engines of this model have no requests. Reports complete each drain at once, so that orders
        // are frequent.
        self.report(holder, self.now);
        self.report(holder, self.now + DRAIN_TIME);
        actions.extend(self.holders[holder].controller.tick(self.now));
        for action in actions {
            let packet = self.packet(action);
            self.network.push(Sent { holder, packet });
        }
    }

    pub(super) fn packet(&mut self, action: Action) -> Packet {
        let sent_at = self.now;
        let to_key_value = |request| Packet::KeyValue {
            request,
            abandoned: false,
        };
        match action {
            Action::AcquireLease => {
                self.next_writer += 1;
                let writer = self.next_writer;
                to_key_value(KeyValueRequest::Acquire { writer, sent_at })
            }
            Action::RenewLease { lease } => to_key_value(KeyValueRequest::Renew { lease, sent_at }),
            Action::ReleaseLease { lease } => to_key_value(KeyValueRequest::Release { lease }),
            Action::RaiseEpoch { call } => Packet::Engine(call, EngineRequest::RaiseEpoch),
            Action::ReadOrders { call } => Packet::Engine(call, EngineRequest::ReadOrders),
            Action::SendOrder { call, order } => {
                self.check_lease_valid(&order);
                Packet::Engine(call, EngineRequest::SendOrder(order))
            }
        }
    }

    /// An order may be sent only while the lease is also valid at the service.
    pub(super) fn check_lease_valid(&self, order: &Order) {
        let record = self.key_value.record(self.now);
        let epoch = record.map(|record| record.epoch);
        assert_eq!(
            epoch,
            Some(order.id.epoch),
            "an order was sent without a valid lease"
        );
    }

    pub(super) fn deliver(&mut self, index: usize) {
        if self.network.is_empty() {
            return;
        }
        let index = index % self.network.len();
        let Sent { holder, packet } = self.network.remove(index);
        if matches!(packet, Packet::Holder(_)) && self.holders[holder].paused {
            self.network.push(Sent { holder, packet });
            return;
        }
        match packet {
            Packet::Engine(call, request) => {
                let answer = self.at_engine(call, &request);
                self.answer(holder, answer);
            }
            Packet::KeyValue { request, abandoned } => {
                let answer = self.at_key_value(holder, request);
                if let Some(answer) = answer.filter(|_| !abandoned) {
                    self.answer(holder, answer);
                }
            }
            Packet::Holder(answer) => self.at_holder(holder, answer),
        }
    }

    pub(super) fn answer(&mut self, holder: usize, answer: Answer) {
        let packet = Packet::Holder(answer);
        self.network.push(Sent { holder, packet });
    }

    pub(super) fn finish(&mut self, engine: usize) {
        let Some(last) = self.engines[engine].state().last.clone() else {
            return;
        };
        if last.phase != OrderPhase::Running {
            return;
        }
        self.engines[engine].finish();
        let role = self.engines[engine].state().role;
        let order = last.order;
        self.log(
            engine,
            OrderLogEntry::Done {
                at_micros: 0,
                order,
                role,
            },
        );
    }

    pub(super) fn log(&mut self, engine: usize, entry: OrderLogEntry) {
        self.record(Event::Engine(EngineLogLine {
            engine: engine_id(engine),
            incarnation: self.engines[engine].state().incarnation,
            entry: EngineLogEntry::Order(entry),
        }));
    }

    pub(super) fn record(&mut self, event: Event) {
        let at = self.now;
        self.history.events.push(RecordedEvent { at, event });
    }

    pub(super) fn check_changes_at_once(&self) {
        let changing = self
            .engines
            .iter()
            .filter(|engine| engine.is_changing_role());
        assert!(changing.count() <= MAX_CHANGES, "too many role changes");
    }
}
