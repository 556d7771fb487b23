//! The world: applies steps and checks after each what must always hold.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_control::{
    Action, DesiredEngine, EngineCall, EngineSeen, GroupController, LeaseGrant,
};
use dalestand_history::checks::{fenced, no_conflicting_orders};
use dalestand_history::{
    EngineLogEntry, EngineLogLine, Event, History, OrderLogEntry, RecordedEvent,
};
use dalestand_standin::engine::OrderBook;
use dalestand_types::{
    EngineId, GroupId, Incarnation, MonotonicTime, NodeId, Order, OrderPhase, Revision, Role,
};

use super::key_value::{HolderRecord, KeyValueModel, LEASE};
use super::network::{Answer, EngineRequest, KeyValueRequest, Packet, Sent};

/// Nodes that try to hold the group.
pub const HOLDERS: usize = 3;

/// Engines of the group.
pub const ENGINES: usize = 3;

/// Most engines out for a role change at once.
const MAX_CHANGES: usize = 1;

/// Rounds without faults after which everything must be as desired.
const FAIR_ROUNDS: usize = 80;

/// Time that passes in such a round.
const FAIR_ROUND: Duration = Duration::from_millis(250);

/// An engine that reports for this long that it holds nothing is drained.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// One step; numbers are taken modulo what there is.
#[derive(Clone, Debug)]
pub enum Step {
    Pass(u16),
    Tick(usize),
    Deliver(usize),
    /// The message is lost; who waits for its answer gives up.
    Lose(usize),
    /// Who waits gives up, and the message arrives much later all the same.
    Delay(usize),
    /// A copy of the message arrives much later.
    Repeat(usize),
    /// A delayed message or copy arrives.
    Arrive(usize),
    Pause(usize),
    Resume(usize),
    Finish(usize),
    Restart(usize),
    Desire(usize),
    HandOver(usize),
    /// Time passes, every holder that is not paused ticks, and all that is under way arrives.
    Round,
}

struct Holder {
    controller: GroupController,
    paused: bool,
}

/// Everything there is.
pub struct World {
    now: MonotonicTime,
    key_value: KeyValueModel,
    holders: Vec<Holder>,
    engines: Vec<OrderBook>,
    network: Vec<Sent>,
    late: Vec<Sent>,
    history: History,
    next_writer: u64,
    revision: u64,
    role: Role,
}

fn engine_id(index: usize) -> EngineId {
    EngineId::from(format!("e{index}"))
}

fn index_of(engine: &EngineId) -> usize {
    let digits = engine.as_str().trim_start_matches('e');
    digits.parse().expect("a model engine's name")
}

impl World {
    /// Nothing held, every engine fresh.
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
                .map(|_| OrderBook::new(Incarnation(1), Role::Mixed))
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

    /// Applies one step and checks the rules.
    pub fn apply(&mut self, step: &Step) {
        match *step {
            Step::Pass(milliseconds) => {
                self.now = self.now + Duration::from_millis(u64::from(milliseconds));
            }
            Step::Tick(holder) => self.tick(holder % HOLDERS),
            Step::Deliver(place) => self.deliver(place),
            Step::Lose(place) => self.lose(place),
            Step::Delay(place) => self.delay(place),
            Step::Repeat(place) => self.repeat(place),
            Step::Arrive(place) => self.arrive(place),
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
        assert_eq!(fenced(&self.history), Ok(()));
    }

    /// Runs on without faults and checks that every engine becomes what is desired.
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
            self.arrive(0);
            self.check_changes_at_once();
        }
        self.converge();
        let now = self.now;
        let held = self.holders.iter().map(|one| one.controller.grant(now));
        assert_eq!(held.flatten().count(), 1, "one node holds the group");
    }

    fn converge(&mut self) {
        for _ in 0..FAIR_ROUNDS {
            self.round();
            for engine in 0..ENGINES {
                self.finish(engine);
            }
            self.check_changes_at_once();
        }
        let roles: Vec<_> = self.engines.iter().map(|book| book.state().role).collect();
        assert_eq!(
            roles,
            vec![Some(self.role); ENGINES],
            "every engine as desired"
        );
    }

    fn round(&mut self) {
        self.now = self.now + FAIR_ROUND;
        for holder in 0..HOLDERS {
            self.tick(holder);
        }
        for _ in 0..self.network.len() {
            self.deliver(0);
        }
    }

    fn desire(&mut self, role: Role) {
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

    fn report(&mut self, holder: usize, at: MonotonicTime) {
        for (index, book) in self.engines.iter().enumerate() {
            let state = book.state();
            let seen = EngineSeen {
                incarnation: state.incarnation,
                role: state.role.filter(|_| !book.changes_role()),
                held: 0,
            };
            let controller = &mut self.holders[holder].controller;
            controller.engine_reported(at, &engine_id(index), &seen);
        }
    }

    fn tick(&mut self, holder: usize) {
        if self.holders[holder].paused {
            return;
        }
        self.report(holder, self.now);
        let mut actions = self.holders[holder].controller.tick(self.now);
        // The engines of this model hold no requests: a drain that has begun is over at once, so
        // that orders are as frequent as without it.
        self.report(holder, self.now);
        self.report(holder, self.now + DRAIN_TIME);
        actions.extend(self.holders[holder].controller.tick(self.now));
        for action in actions {
            let packet = self.packet(action);
            self.network.push(Sent { holder, packet });
        }
    }

    fn packet(&mut self, action: Action) -> Packet {
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
                self.check_lease_lives(&order);
                Packet::Engine(call, EngineRequest::SendOrder(order))
            }
        }
    }

    /// An order is given only while the service, too, counts the lease as alive.
    fn check_lease_lives(&self, order: &Order) {
        let record = self.key_value.record(self.now);
        let epoch = record.map(|record| record.epoch);
        assert_eq!(epoch, Some(order.id.epoch), "an order without a lease");
    }

    fn deliver(&mut self, place: usize) {
        if self.network.is_empty() {
            return;
        }
        let place = place % self.network.len();
        let Sent { holder, packet } = self.network.remove(place);
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

    fn answer(&mut self, holder: usize, answer: Answer) {
        let packet = Packet::Holder(answer);
        self.network.push(Sent { holder, packet });
    }

    fn at_engine(&mut self, call: EngineCall, request: &EngineRequest) -> Answer {
        let index = index_of(&call.engine);
        let before = self.engines[index].state().clone();
        let outcome = match request {
            EngineRequest::ReadOrders => return Answer::Read(call, before),
            EngineRequest::RaiseEpoch => self.engines[index].raise_epoch(call.epoch),
            EngineRequest::SendOrder(order) => self.engines[index].take(order),
        };
        let after = outcome.state();
        if let EngineRequest::SendOrder(order) = request
            && before.last != after.last
        {
            assert_eq!(
                before.highest_epoch, order.id.epoch,
                "an order to an engine that was not read under its epoch"
            );
            let order = order.clone();
            self.log(
                index,
                OrderLogEntry::Taken {
                    at_micros: 0,
                    order,
                },
            );
        } else if before.highest_epoch < after.highest_epoch {
            let entry = OrderLogEntry::EpochRaised {
                at_micros: 0,
                incarnation: after.incarnation,
                epoch: after.highest_epoch,
            };
            self.log(index, entry);
        }
        Answer::Engine(call, outcome)
    }

    fn at_key_value(&mut self, holder: usize, request: KeyValueRequest) -> Option<Answer> {
        let now = self.now;
        Some(match request {
            KeyValueRequest::Acquire { writer, sent_at } => {
                let record = self.key_value.acquire(now, writer);
                if let Some(record) = record {
                    self.record(Event::LeaseGranted {
                        group: GroupId::from("g"),
                        node: NodeId::from(format!("n{holder}")),
                        epoch: record.epoch,
                    });
                }
                Answer::Acquired(record.map(|record| grant(record, sent_at)))
            }
            KeyValueRequest::ReadBack { writer, sent_at } => {
                let record = self.key_value.record(now);
                let own = record.filter(|record| record.writer == writer);
                Answer::Acquired(own.map(|record| grant(record, sent_at)))
            }
            KeyValueRequest::Renew { lease, sent_at } if self.key_value.renew(now, lease) => {
                Answer::Renewed { lease, sent_at }
            }
            KeyValueRequest::Renew { lease, .. } => Answer::Gone { lease },
            KeyValueRequest::Release { lease } => {
                self.key_value.revoke(lease);
                return None;
            }
        })
    }

    fn at_holder(&mut self, holder: usize, answer: Answer) {
        let now = self.now;
        let controller = &mut self.holders[holder].controller;
        match answer {
            Answer::Engine(call, outcome) => controller.engine_answered(now, &call, &outcome),
            Answer::Read(call, state) => controller.engine_read(now, &call, &state),
            Answer::EngineFailed(call) => controller.engine_failed(now, &call),
            Answer::Acquired(Some(grant)) => controller.lease_acquired(now, grant),
            Answer::Acquired(None) => controller.lease_not_acquired(now + LEASE / 2),
            Answer::Renewed { lease, sent_at } => controller.lease_renewed(lease, sent_at),
            Answer::Gone { lease } => controller.lease_gone(now, lease),
            Answer::RenewalFailed { lease } => controller.lease_renewal_failed(now, lease),
        }
    }

    /// What the waiting holder makes of a call that it gives up.
    fn given_up(packet: &Packet) -> Option<Packet> {
        let answer = match packet {
            Packet::Engine(call, _)
            | Packet::Holder(Answer::Engine(call, _) | Answer::Read(call, _)) => {
                Answer::EngineFailed(call.clone())
            }
            Packet::KeyValue { request, abandoned } if !abandoned => match *request {
                KeyValueRequest::Acquire { writer, sent_at } => {
                    let request = KeyValueRequest::ReadBack { writer, sent_at };
                    let abandoned = false;
                    return Some(Packet::KeyValue { request, abandoned });
                }
                KeyValueRequest::ReadBack { .. } => Answer::Acquired(None),
                KeyValueRequest::Renew { lease, .. } => Answer::RenewalFailed { lease },
                KeyValueRequest::Release { .. } => return None,
            },
            Packet::Holder(Answer::Renewed { lease, .. } | Answer::Gone { lease }) => {
                Answer::RenewalFailed { lease: *lease }
            }
            Packet::Holder(Answer::Acquired(_)) => Answer::Acquired(None),
            Packet::KeyValue { .. } | Packet::Holder(_) => return None,
        };
        Some(Packet::Holder(answer))
    }

    fn lose(&mut self, place: usize) {
        if self.network.is_empty() {
            return;
        }
        let place = place % self.network.len();
        let holder = self.network[place].holder;
        match Self::given_up(&self.network[place].packet) {
            Some(packet) => self.network[place] = Sent { holder, packet },
            // A failure that a holder noticed by itself cannot be lost.
            None if matches!(self.network[place].packet, Packet::Holder(_)) => {}
            None => drop(self.network.remove(place)),
        }
    }

    fn delay(&mut self, place: usize) {
        if self.network.is_empty() {
            return;
        }
        let place = place % self.network.len();
        let holder = self.network[place].holder;
        if matches!(self.network[place].packet, Packet::Holder(_)) {
            return;
        }
        if let Some(packet) = Self::given_up(&self.network[place].packet) {
            let mut late = self.network.remove(place);
            if let Packet::KeyValue { abandoned, .. } = &mut late.packet {
                *abandoned = true;
            }
            self.late.push(late);
            self.network.push(Sent { holder, packet });
        }
    }

    fn arrive(&mut self, place: usize) {
        if self.late.is_empty() {
            return;
        }
        let sent = self.late.remove(place % self.late.len());
        self.network.push(sent);
        self.deliver(self.network.len() - 1);
    }

    fn repeat(&mut self, place: usize) {
        if self.network.is_empty() {
            return;
        }
        let sent = self.network[place % self.network.len()].clone();
        if matches!(
            sent.packet,
            Packet::Engine(..) | Packet::Holder(Answer::Engine(..) | Answer::Read(..))
        ) {
            self.late.push(sent);
        }
    }

    fn finish(&mut self, engine: usize) {
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

    fn restart(&mut self, engine: usize) {
        let incarnation = self.engines[engine].state().incarnation.next();
        self.engines[engine] = OrderBook::new(incarnation, Role::Mixed);
    }

    fn hand_over(&mut self, holder: usize) {
        if self.holders[holder].paused {
            return;
        }
        let retry_at = self.now + LEASE;
        let grant = self.holders[holder].controller.hand_over(retry_at);
        if let Some(grant) = grant {
            let lease = grant.lease;
            let request = KeyValueRequest::Release { lease };
            let packet = Packet::KeyValue {
                request,
                abandoned: false,
            };
            self.network.push(Sent { holder, packet });
            self.holders[(holder + 1) % HOLDERS].controller.invite();
        }
    }

    fn log(&mut self, engine: usize, entry: OrderLogEntry) {
        self.record(Event::Engine(EngineLogLine {
            engine: engine_id(engine),
            incarnation: self.engines[engine].state().incarnation,
            entry: EngineLogEntry::Order(entry),
        }));
    }

    fn record(&mut self, event: Event) {
        let at = self.now;
        self.history.events.push(RecordedEvent { at, event });
    }

    fn check_changes_at_once(&self) {
        let changing = self.engines.iter().filter(|book| book.changes_role());
        assert!(changing.count() <= MAX_CHANGES, "too many role changes");
    }
}

fn grant(record: HolderRecord, sent_at: MonotonicTime) -> LeaseGrant {
    LeaseGrant {
        lease: record.lease,
        epoch: record.epoch,
        sent_at,
        time_to_live: LEASE,
    }
}
