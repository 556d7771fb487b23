//! Simulation of one policy in virtual time.

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
use super::outcome::{Metrics, PolicyResult};
use super::policy::Policy;
use super::request::{Attempt, Request};
use super::role_control::RoleControl;
use super::scenario::{Fault, Scenario};
use super::workload::{MICROS_PER_SECOND, OfferedRequest, random_stream};

/// Interval between two plans of a group.
const PLAN_INTERVAL_US: u64 = 1_000_000;

/// Time after the last phase in which open requests may still finish.
const COMPLETION_PERIOD_US: u64 = 600_000_000;

/// First random stream of the nodes; lower numbers belong to the request classes.
const NODE_STREAM: u64 = 1 << 32;

/// Random stream of the digests.
const DIGEST_STREAM: u64 = 1 << 33;

/// State of a run.
pub(crate) struct Simulation<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) fleet: &'a Fleet,
    pub(crate) offered: &'a [OfferedRequest],
    pub(crate) now_us: u64,
    pub(crate) queue: EventQueue,
    pub(crate) engines: Vec<Engine>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) requests: Vec<Request>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) metrics: Metrics,
    pub(crate) open_requests: usize,
    /// When the weight store of each pool is free, in microseconds.
    pub(crate) store_free_at_us: Vec<u64>,
    /// Armed crash of each pool's next role change: earliest time and downtime, in microseconds.
    pub(crate) crashes_in_change: Vec<Option<(u64, u64)>>,
    role_control: RoleControl,
    digest_receivers: Vec<Vec<usize>>,
    report_sequence: u64,
    /// Total prefill and decode tokens of each engine in its last digest.
    reported_tokens: Vec<(u64, u64)>,
    next_offered: usize,
    digest_random: ChaCha8Rng,
}

/// Simulates a scenario under one policy.
pub(crate) fn run(
    scenario: &Scenario,
    fleet: &Fleet,
    offered: &[OfferedRequest],
    seed: u64,
    policy: Policy,
) -> PolicyResult {
    let mut simulation = Simulation::new(scenario, fleet, offered, seed, policy);
    simulation.start();
    simulation.run_to_end();
    simulation.metrics.result(policy.name)
}

impl<'a> Simulation<'a> {
    fn new(
        scenario: &'a Scenario,
        fleet: &'a Fleet,
        offered: &'a [OfferedRequest],
        seed: u64,
        policy: Policy,
    ) -> Self {
        let role_control = RoleControl::new(policy, fleet, scenario);
        let initial_roles = role_control.initial_roles(fleet, scenario);
        let engines: Vec<Engine> = initial_roles
            .iter()
            .map(|role| Engine::new(scenario.engine.clone(), *role))
            .collect();
        let capacities = vec![scenario.engine.capacity; engines.len()];
        let nodes = (0..fleet.nodes.len()).map(|node| {
            let random = random_stream(seed, NODE_STREAM + node as u64);
            Node::new(policy.routing, fleet, &initial_roles, &capacities, random)
        });
        let digest_receivers = (0..fleet.groups.len())
            .map(|group| role_control.digest_receivers(fleet, group))
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
            metrics: Metrics::new(scenario.duration_s(), offered.len() as u64),
            open_requests: 0,
            store_free_at_us: vec![0; scenario.pools.len()],
            crashes_in_change: vec![None; scenario.pools.len()],
            role_control,
            digest_receivers,
            report_sequence: 0,
            reported_tokens: vec![(0, 0); fleet.engines.len()],
            next_offered: 0,
            digest_random: random_stream(seed, DIGEST_STREAM),
        }
    }

    /// Virtual time as a monotonic time, for the decision code.
    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime(self.now_us)
    }

    /// Schedules an event after a delay.
    pub(crate) fn schedule_after(&mut self, delay_us: u64, event: Event) {
        self.queue.schedule(self.now_us + delay_us, event);
    }

    fn start(&mut self) {
        let interval_us = self.scenario.digests.interval_ms * 1_000;
        let groups = self.fleet.groups.len() as u64;
        for group in 0..self.fleet.groups.len() {
            // The groups' reports are evenly distributed over the interval.
            let offset_us = interval_us * (group as u64 + 1) / (groups + 1);
            self.schedule_after(offset_us, Event::DigestDue { group });
            self.schedule_after(PLAN_INTERVAL_US + offset_us, Event::PlanDue { group });
        }
        for fault in &self.scenario.faults {
            self.schedule_fault(fault);
        }
        self.schedule_next_arrival();
    }

    fn schedule_fault(&mut self, fault: &Fault) {
        let to_micros = |seconds: f64| (seconds * MICROS_PER_SECOND) as u64;
        match fault {
            Fault::Crash {
                engine,
                at_s,
                out_s,
            } => {
                let id = dalestand_types::EngineId::from(engine.as_str());
                if let Some(engine) = self.fleet.engine_index(&id) {
                    let downtime_us = to_micros(*out_s);
                    self.queue.schedule(
                        to_micros(*at_s),
                        Event::Crash {
                            engine,
                            downtime_us,
                        },
                    );
                }
            }
            Fault::CrashInChange { pool, at_s, out_s } => {
                let pools = self.scenario.pools.iter();
                let armed_crashes = pools.zip(&mut self.crashes_in_change);
                for (_, armed) in armed_crashes.filter(|(candidate, _)| candidate.name == *pool) {
                    *armed = Some((to_micros(*at_s), to_micros(*out_s)));
                }
            }
            // Handled by `Fleet::partitioned_until_us`.
            Fault::Cut { .. } => {}
        }
    }

    fn run_to_end(&mut self) {
        let end_us = (self.scenario.duration_s() * MICROS_PER_SECOND) as u64 + COMPLETION_PERIOD_US;
        while let Some((at_us, event)) = self.queue.next() {
            let all_offered = self.next_offered == self.offered.len();
            if at_us > end_us || all_offered && self.open_requests == 0 {
                return;
            }
            self.now_us = at_us;
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestArrive { request } => {
                self.schedule_next_arrival();
                self.dispatch(request);
            }
            Event::Redispatch { request } => self.dispatch(request),
            Event::CallerRetry { request } => self.retry_as_caller(request),
            Event::AttemptArrive { attempt } => self.receive_attempt(attempt),
            Event::StepEnd { engine, generation } => self.end_step(engine, generation),
            Event::ImportEnd { attempt, exporter } => self.end_import(attempt, exporter),
            Event::SignalArrive { attempt, signal } => self.handle_signal(attempt, signal),
            Event::DigestDue { group } => self.send_digest(group),
            Event::NodeDigest {
                node,
                group,
                digest,
                rates,
            } => {
                let engines = &self.fleet.groups[group].engines;
                let now = MonotonicTime(self.now_us);
                self.nodes[node].apply_digest(now, &digest, &rates, engines);
            }
            Event::HolderDigest { holder, digest } => {
                self.role_control.observe(self.now(), holder, &digest);
            }
            Event::PlanDue { group } => self.plan(group),
            Event::RoleOrder { engine, role } => self.order_role(engine, role),
            Event::RoleChangeEnd { engine, generation } => self.end_role_change(engine, generation),
            Event::Crash {
                engine,
                downtime_us,
            } => self.crash(engine, downtime_us),
            Event::Restart { engine } => self.restart(engine),
            Event::WeightsLoaded { engine, generation } => self.end_restart(engine, generation),
        }
    }

    /// Schedules the arrival of the next offered request at its node.
    fn schedule_next_arrival(&mut self) {
        let Some(offered) = self.offered.get(self.next_offered) else {
            return;
        };
        let request = self.requests.len();
        self.requests.push(Request::new(self.next_offered, offered));
        self.next_offered += 1;
        self.open_requests += 1;
        let at_us = offered.sent_us + self.scenario.network.caller_us;
        self.queue.schedule(at_us, Event::RequestArrive { request });
    }

    fn send_digest(&mut self, group: usize) {
        let interval_us = self.scenario.digests.interval_ms * 1_000;
        self.schedule_after(interval_us, Event::DigestDue { group });
        if self.metrics.is_roles_sample_due(self.now_us) {
            let counts = self.role_counts();
            self.metrics.roles.push(counts);
        }
        let digest = Rc::new(self.digest(group));
        let rates = self.token_rates(group, &digest);
        self.role_control
            .observe_for_threshold(self.fleet, group, &digest);
        let from = self.fleet.groups[group].zone;
        for node in 0..self.nodes.len() {
            let to = self.fleet.nodes[node];
            if let Some(delay_us) = self.digest_delay_us(from, to) {
                let event = Event::NodeDigest {
                    node,
                    group,
                    digest: Rc::clone(&digest),
                    rates: Rc::clone(&rates),
                };
                self.schedule_after(delay_us, event);
            }
        }
        for holder in self.digest_receivers[group].clone() {
            let to = self.fleet.groups[holder].zone;
            let delay_us = if holder == group {
                Some(0)
            } else {
                self.digest_delay_us(from, to)
            };
            if let Some(delay_us) = delay_us {
                let digest = Rc::clone(&digest);
                self.schedule_after(delay_us, Event::HolderDigest { holder, digest });
            }
        }
    }

    /// Delay of a digest between two zones; `None` if it is lost.
    fn digest_delay_us(&mut self, from: usize, to: usize) -> Option<u64> {
        let digests = &self.scenario.digests;
        let is_lost = self.digest_random.random::<f64>() < digests.loss;
        let jitter_us = self
            .digest_random
            .random_range(0..=digests.jitter_ms * 1_000);
        let is_partitioned = self
            .fleet
            .partitioned_until_us(from, to, self.now_us)
            .is_some();
        (!is_lost && !is_partitioned).then(|| self.fleet.delay_us(from, to) + jitter_us)
    }

    /// Token rates of the group's engines since the previous digest.
    fn token_rates(&mut self, group: usize, digest: &GroupDigest) -> Rc<[TokenRates]> {
        let interval_s = self.scenario.digests.interval_ms as f64 / 1_000.0;
        let engines = self.fleet.groups[group].engines.iter();
        engines
            .zip(&digest.engines)
            .map(|(index, report)| {
                let load = &report.load;
                let (prefill, decode) = self.reported_tokens[*index];
                self.reported_tokens[*index] =
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
        // The lease holder reports an engine that is down as not accepting.
        let engines = info.engines.iter().map(|index| {
            let engine = &self.engines[*index];
            let has_role = matches!(engine.service, Service::Serving | Service::Draining { .. });
            EngineDigest {
                load: EngineLoad {
                    engine: self.fleet.engines[*index].id.clone(),
                    incarnation: Incarnation(engine.incarnation),
                    sequence,
                    role: has_role.then_some(engine.role),
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
        self.schedule_after(PLAN_INTERVAL_US, Event::PlanDue { group });
        let now = self.now();
        let info = &self.fleet.groups[group];
        let mut orders = self.role_control.plan(now, self.fleet, group);
        let groups = self.fleet.groups.iter();
        let is_first_of_pool = groups.take(group).all(|earlier| earlier.pool != info.pool);
        if is_first_of_pool {
            orders.extend(self.role_control.threshold_change(now, info.pool));
        }
        let delay_us = self.scenario.network.same_zone_us;
        for order in orders {
            let (engine, role) = (order.engine, order.role);
            if self.engines[engine].role != role {
                self.schedule_after(delay_us, Event::RoleOrder { engine, role });
            }
        }
    }

    /// Number of serving prefill, decode and mixed engines.
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

    /// Converts a duration to microseconds.
    pub(crate) fn to_micros(duration: Duration) -> u64 {
        duration.as_micros() as u64
    }
}
