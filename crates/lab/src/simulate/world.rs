//! One run of one policy in virtual time.

use std::rc::Rc;
use std::time::Duration;

use dalestand_types::{
    EngineDigest, EngineLoad, Epoch, GroupDigest, Incarnation, MonotonicTime, NodeId, Role,
    Sequence as ReportSequence,
};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use super::engine::{Engine, Service};
use super::event::{Event, EventQueue};
use super::fleet::Fleet;
use super::node::{Node, TokenRates};
use super::outcome::{Measures, PolicyResult};
use super::policy::Policy;
use super::request::{Attempt, Request};
use super::role_control::RoleControl;
use super::scenario::{Fault, Scenario};
use super::workload::{OfferedRequest, SECOND_US, generator};

/// Time between two plans of a group.
const PLAN_INTERVAL_US: u64 = 1_000_000;

/// Time after the last phase within which every request must have its answer.
const CLOSING_US: u64 = 600_000_000;

/// Streams of random numbers beyond those of the classes.
const NODE_STREAM: u64 = 1 << 32;
const DIGEST_STREAM: u64 = 1 << 33;

/// A run.
pub(crate) struct World<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) fleet: &'a Fleet,
    pub(crate) offered: &'a [OfferedRequest],
    pub(crate) now_us: u64,
    pub(crate) queue: EventQueue,
    pub(crate) engines: Vec<Engine>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) requests: Vec<Request>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) measures: Measures,
    pub(crate) open_requests: usize,
    pub(crate) store_free_us: Vec<u64>,
    pub(crate) crashes_in_change: Vec<Option<(u64, u64)>>,
    roles: RoleControl,
    listeners: Vec<Vec<usize>>,
    report_sequence: u64,
    /// Prompt and output tokens of each engine at its last digest.
    reported_tokens: Vec<(u64, u64)>,
    next_offered: usize,
    digest_random: ChaCha8Rng,
}

/// Runs one policy to its end.
pub(crate) fn run(
    scenario: &Scenario,
    fleet: &Fleet,
    offered: &[OfferedRequest],
    seed: u64,
    policy: Policy,
) -> PolicyResult {
    let mut world = World::new(scenario, fleet, offered, seed, policy);
    world.start();
    world.run_to_end();
    world.measures.result(policy.name)
}

impl<'a> World<'a> {
    fn new(
        scenario: &'a Scenario,
        fleet: &'a Fleet,
        offered: &'a [OfferedRequest],
        seed: u64,
        policy: Policy,
    ) -> Self {
        let roles = RoleControl::new(policy, fleet, scenario);
        let initial = roles.initial_roles(fleet, scenario);
        let engines: Vec<Engine> = initial
            .iter()
            .map(|role| Engine::new(scenario.engine.clone(), *role))
            .collect();
        let capacities = vec![scenario.engine.capacity; engines.len()];
        let nodes = (0..fleet.nodes.len()).map(|node| {
            let random = generator(seed, NODE_STREAM + node as u64);
            Node::new(policy.routing, fleet, &initial, &capacities, random)
        });
        let listeners = (0..fleet.groups.len())
            .map(|group| roles.listeners(fleet, group))
            .collect();
        Self {
            scenario,
            fleet,
            offered,
            now_us: 0,
            queue: EventQueue::default(),
            engines,
            nodes: nodes.collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            measures: Measures::new(scenario.duration_s(), offered.len() as u64),
            open_requests: 0,
            store_free_us: vec![0; scenario.pools.len()],
            crashes_in_change: vec![None; scenario.pools.len()],
            roles,
            listeners,
            report_sequence: 0,
            reported_tokens: vec![(0, 0); fleet.engines.len()],
            next_offered: 0,
            digest_random: generator(seed, DIGEST_STREAM),
        }
    }

    /// Time as the decision code sees it.
    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime(self.now_us)
    }

    /// Schedules an event so long from now.
    pub(crate) fn after(&mut self, delay_us: u64, event: Event) {
        self.queue.schedule(self.now_us + delay_us, event);
    }

    fn start(&mut self) {
        let interval_us = self.scenario.digests.interval_ms * 1_000;
        let groups = self.fleet.groups.len() as u64;
        for group in 0..self.fleet.groups.len() {
            // Groups report one after the other within an interval.
            let offset_us = interval_us * (group as u64 + 1) / (groups + 1);
            self.after(offset_us, Event::DigestDue { group });
            self.after(PLAN_INTERVAL_US + offset_us, Event::PlanDue { group });
        }
        for fault in &self.scenario.faults {
            self.schedule_fault(fault);
        }
        self.schedule_next_arrival();
    }

    fn schedule_fault(&mut self, fault: &Fault) {
        let us = |seconds: f64| (seconds * SECOND_US) as u64;
        match fault {
            Fault::Crash {
                engine,
                at_s,
                out_s,
            } => {
                let id = dalestand_types::EngineId::from(engine.as_str());
                if let Some(engine) = self.fleet.engine(&id) {
                    let out_us = us(*out_s);
                    self.queue
                        .schedule(us(*at_s), Event::Crash { engine, out_us });
                }
            }
            Fault::CrashInChange { pool, at_s, out_s } => {
                let pools = self.scenario.pools.iter();
                let place = pools.zip(&mut self.crashes_in_change);
                for (_, armed) in place.filter(|(known, _)| known.name == *pool) {
                    *armed = Some((us(*at_s), us(*out_s)));
                }
            }
            // Cuts are a matter of the fleet's delays.
            Fault::Cut { .. } => {}
        }
    }

    fn run_to_end(&mut self) {
        let end_us = (self.scenario.duration_s() * SECOND_US) as u64 + CLOSING_US;
        while let Some((at_us, event)) = self.queue.next() {
            let all_offered = self.next_offered == self.offered.len();
            if at_us > end_us || all_offered && self.open_requests == 0 {
                return;
            }
            self.now_us = at_us;
            self.happen(event);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => {
                self.schedule_next_arrival();
                self.dispatch(request);
            }
            Event::Redispatch { request } => self.dispatch(request),
            Event::Return { request } => self.come_back(request),
            Event::Receive { attempt } => self.receive(attempt),
            Event::StepEnd { engine, generation } => self.end_step(engine, generation),
            Event::Imported { attempt, exporter } => self.imported(attempt, exporter),
            Event::Hear { attempt, signal } => self.hear(attempt, signal),
            Event::DigestDue { group } => self.send_digest(group),
            Event::Digest {
                node,
                group,
                digest,
                rates,
            } => {
                let engines = &self.fleet.groups[group].engines;
                let now = MonotonicTime(self.now_us);
                self.nodes[node].receive(now, &digest, &rates, engines);
            }
            Event::HolderDigest { holder, digest } => {
                self.roles.observe(self.now(), holder, &digest);
            }
            Event::PlanDue { group } => self.plan(group),
            Event::Order { engine, role } => self.order(engine, role),
            Event::ChangeEnd { engine, generation } => self.end_change(engine, generation),
            Event::Crash { engine, out_us } => self.crash(engine, out_us),
            Event::Restart { engine } => self.restart(engine),
            Event::Loaded { engine, generation } => self.loaded(engine, generation),
        }
    }

    /// Takes the next offered request in and schedules its arrival at its node.
    fn schedule_next_arrival(&mut self) {
        let Some(offered) = self.offered.get(self.next_offered) else {
            return;
        };
        let request = self.requests.len();
        self.requests.push(Request::new(self.next_offered, offered));
        self.next_offered += 1;
        self.open_requests += 1;
        let at_us = offered.sent_us + self.scenario.network.caller_us;
        self.queue.schedule(at_us, Event::Arrive { request });
    }

    fn send_digest(&mut self, group: usize) {
        let interval_us = self.scenario.digests.interval_ms * 1_000;
        self.after(interval_us, Event::DigestDue { group });
        if self.measures.interval_ended(self.now_us) {
            let counts = self.role_counts();
            self.measures.roles.push(counts);
        }
        let digest = Rc::new(self.digest(group));
        let rates = self.rates(group, &digest);
        self.roles.observe_for_threshold(self.fleet, group, &digest);
        let from = self.fleet.groups[group].zone;
        for node in 0..self.nodes.len() {
            let to = self.fleet.nodes[node];
            if let Some(delay_us) = self.digest_delay_us(from, to) {
                let event = Event::Digest {
                    node,
                    group,
                    digest: Rc::clone(&digest),
                    rates: Rc::clone(&rates),
                };
                self.after(delay_us, event);
            }
        }
        for holder in self.listeners[group].clone() {
            let to = self.fleet.groups[holder].zone;
            let delay_us = if holder == group {
                Some(0)
            } else {
                self.digest_delay_us(from, to)
            };
            if let Some(delay_us) = delay_us {
                let digest = Rc::clone(&digest);
                self.after(delay_us, Event::HolderDigest { holder, digest });
            }
        }
    }

    /// Delay of a digest on its way; `None` if it is lost.
    fn digest_delay_us(&mut self, from: usize, to: usize) -> Option<u64> {
        let digests = &self.scenario.digests;
        let lost = self.digest_random.random::<f64>() < digests.loss;
        let jitter_us = self
            .digest_random
            .random_range(0..=digests.jitter_ms * 1_000);
        let cut = self.fleet.cut_until_us(from, to, self.now_us).is_some();
        (!lost && !cut).then(|| self.fleet.delay_us(from, to) + jitter_us)
    }

    /// What the group's engines ran in a second since the digest before.
    fn rates(&mut self, group: usize, digest: &GroupDigest) -> Rc<[TokenRates]> {
        let interval_s = self.scenario.digests.interval_ms as f64 / 1_000.0;
        let engines = self.fleet.groups[group].engines.iter();
        engines
            .zip(&digest.engines)
            .map(|(place, report)| {
                let load = &report.load;
                let (prefill, decode) = self.reported_tokens[*place];
                self.reported_tokens[*place] =
                    (load.prefill_tokens_total, load.decode_tokens_total);
                let rate = |now: u64, before: u64| now.saturating_sub(before) as f64 / interval_s;
                TokenRates {
                    prefill_per_s: rate(load.prefill_tokens_total, prefill),
                    decode_per_s: rate(load.decode_tokens_total, decode),
                }
            })
            .collect()
    }

    fn digest(&mut self, group: usize) -> GroupDigest {
        self.report_sequence += 1;
        let sequence = ReportSequence(self.report_sequence);
        let info = &self.fleet.groups[group];
        // A crashed engine gives no report; the holder says that it takes no work.
        let engines = info.engines.iter().map(|place| {
            let engine = &self.engines[*place];
            let in_role = matches!(engine.service, Service::Serving | Service::Draining { .. });
            EngineDigest {
                load: EngineLoad {
                    engine: self.fleet.engines[*place].id.clone(),
                    incarnation: Incarnation(engine.incarnation),
                    sequence,
                    role: in_role.then_some(engine.role),
                    running: engine.running(),
                    waiting: engine.waiting(),
                    queued_prefill_tokens: engine.queued_prefill_tokens(),
                    capacity: engine.settings().capacity,
                    cache_tokens_used: engine.reserved_tokens(),
                    cache_tokens_total: engine.settings().cache_tokens,
                    prefill_tokens_total: engine.prefill_tokens,
                    decode_tokens_total: engine.decode_tokens,
                    models: Vec::new(),
                },
                age_ms: 0,
                accepting: engine.service == Service::Serving,
            }
        });
        GroupDigest {
            group: info.id.clone(),
            epoch: Epoch(1),
            sequence,
            holder: NodeId::from("holder"),
            engines: engines.collect(),
        }
    }

    fn plan(&mut self, group: usize) {
        self.after(PLAN_INTERVAL_US, Event::PlanDue { group });
        let now = self.now();
        let info = &self.fleet.groups[group];
        let mut orders = self.roles.plan(now, self.fleet, group);
        let groups = self.fleet.groups.iter();
        let first_of_pool = groups.take(group).all(|earlier| earlier.pool != info.pool);
        if first_of_pool {
            orders.extend(self.roles.threshold_change(now, info.pool));
        }
        let delay_us = self.scenario.network.same_zone_us;
        for order in orders {
            let (engine, role) = (order.engine, order.role);
            if self.engines[engine].role != role {
                self.after(delay_us, Event::Order { engine, role });
            }
        }
    }

    /// Engines that run prompts only, output only, and both.
    fn role_counts(&self) -> [usize; 3] {
        let mut counts = [0; 3];
        for engine in &self.engines {
            if engine.service != Service::Serving {
                continue;
            }
            match engine.role {
                Role::Prefill => counts[0] += 1,
                Role::Decode => counts[1] += 1,
                Role::Mixed => counts[2] += 1,
            }
        }
        counts
    }

    /// A duration in microseconds.
    pub(crate) fn micros(duration: Duration) -> u64 {
        duration.as_micros() as u64
    }
}
