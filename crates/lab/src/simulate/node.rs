//! A simulated node: its own stale view of the fleet and the policy's routing.

use std::time::Duration;

use dalestand_routing::{
    Completion, EngineView, FailedAttempt, FailureKind, FleetView, Placement, RetryBudget,
    RetryBudgetConfig, RetryDecision, RouteDecision, RouteRequest, Router, RouterConfig, Ticket,
};
use dalestand_types::{GroupDigest, Incarnation, MonotonicTime, Revision, Role};
use rand_chacha::ChaCha8Rng;

use super::fleet::Fleet;
use super::policy::Routing;

/// Wait told to callers by the policies that know none better.
const USUAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retries of a request by the policies that have no budget.
const USUAL_RETRIES: u32 = 2;

/// Tokens an engine runs in a second, as a group's holder measures them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenRates {
    pub(crate) prefill_per_s: f64,
    pub(crate) decode_per_s: f64,
}

/// What a node does with a request.
pub(crate) enum Choice {
    /// Send it to this engine.
    Send { engine: usize, placement: Placement },
    /// Refuse it.
    Refuse { retry_after: Duration },
}

/// A node.
pub(crate) struct Node {
    routing: Routing,
    view: FleetView,
    router: Router,
    retries: RetryBudget,
    random: ChaCha8Rng,
    turn: usize,
}

impl Node {
    /// A node that knows the fleet as it starts.
    pub(crate) fn new(
        routing: Routing,
        fleet: &Fleet,
        roles: &[Role],
        capacities: &[u32],
        random: ChaCha8Rng,
    ) -> Self {
        let engines = fleet.engines.iter().zip(roles.iter().zip(capacities));
        let views = engines.map(|(info, (role, capacity))| EngineView {
            engine: info.id.clone(),
            group: fleet.groups[info.group].id.clone(),
            pool: fleet.pool_names[info.pool].clone(),
            zone: fleet.zone_names[info.zone].clone(),
            address: ([127, 0, 0, 1], 0).into(),
            incarnation: Incarnation(1),
            role: Some(*role),
            models: fleet.models(info.pool),
            running: 0,
            waiting: 0,
            queued_prefill_tokens: 0,
            prefill_tokens_per_s: 0.0,
            decode_tokens_per_s: 0.0,
            capacity: *capacity,
            reported_at: MonotonicTime::ZERO,
            accepting: true,
        });
        Self {
            routing,
            view: FleetView {
                revision: Revision(1),
                engines: views.collect(),
            },
            router: Router::new(RouterConfig::default()),
            retries: RetryBudget::new(RetryBudgetConfig::default()),
            random,
            turn: 0,
        }
    }

    /// Takes a digest in.
    pub(crate) fn receive(
        &mut self,
        now: MonotonicTime,
        digest: &GroupDigest,
        rates: &[TokenRates],
        engines: &[usize],
    ) {
        for ((place, report), rates) in engines.iter().zip(&digest.engines).zip(rates) {
            let view = &mut self.view.engines[*place];
            let load = &report.load;
            view.incarnation = load.incarnation;
            view.role = load.role;
            view.running = load.running;
            view.waiting = load.waiting;
            view.queued_prefill_tokens = load.queued_prefill_tokens;
            view.capacity = load.capacity;
            view.prefill_tokens_per_s = rates.prefill_per_s;
            view.decode_tokens_per_s = rates.decode_per_s;
            view.accepting = report.accepting;
            view.reported_at = now.saturating_sub(Duration::from_millis(report.age_ms));
        }
    }

    /// Chooses an engine.
    pub(crate) fn choose(
        &mut self,
        now: MonotonicTime,
        fleet: &Fleet,
        request: &RouteRequest,
    ) -> Choice {
        match self.routing {
            Routing::Dalestand => self.choose_by_router(now, fleet, request),
            Routing::RoundRobin => {
                let usable = self.usable(request);
                self.turn += 1;
                let turn = self.turn;
                let engine = (!usable.is_empty()).then(|| usable[turn % usable.len()]);
                send_whole(engine)
            }
            Routing::LeastLoaded => {
                let usable = self.usable(request);
                let held = |place: &usize| {
                    let view = &self.view.engines[*place];
                    view.running + view.waiting
                };
                send_whole(usable.into_iter().min_by_key(held))
            }
        }
    }

    fn choose_by_router(
        &mut self,
        now: MonotonicTime,
        fleet: &Fleet,
        request: &RouteRequest,
    ) -> Choice {
        let decision = self
            .router
            .decide(now, &self.view, request, &mut self.random);
        match decision {
            RouteDecision::Send {
                engine, placement, ..
            } => match fleet.engine(&engine.engine) {
                Some(engine) => Choice::Send { engine, placement },
                None => Choice::Refuse {
                    retry_after: USUAL_RETRY_AFTER,
                },
            },
            RouteDecision::Refuse { retry_after, .. } => Choice::Refuse { retry_after },
        }
    }

    fn usable(&self, request: &RouteRequest) -> Vec<usize> {
        let engines = self.view.engines.iter().enumerate();
        engines
            .filter(|(_, view)| {
                view.accepting
                    && view.role == Some(Role::Mixed)
                    && view.serves(&request.model, None)
                    && !request.tried.contains(&view.engine)
            })
            .map(|(place, _)| place)
            .collect()
    }

    /// Notes that a request was sent.
    pub(crate) fn sent(
        &mut self,
        now: MonotonicTime,
        engine: usize,
        request: &RouteRequest,
        placement: Placement,
    ) -> Ticket {
        let view = &self.view.engines[engine];
        self.router.record_sent(now, view, request, placement)
    }

    /// Notes a request's first attempt.
    pub(crate) fn first_attempt(&mut self) {
        self.retries.record_first_attempt();
    }

    /// Whether a request that an engine refused is sent to another one.
    pub(crate) fn may_retry(&mut self, retries: u32, repeatable: bool) -> bool {
        if self.routing != Routing::Dalestand {
            return retries < USUAL_RETRIES;
        }
        let attempt = FailedAttempt {
            kind: FailureKind::Refused,
            repeatable,
            retries,
        };
        self.retries.decide(&attempt) == RetryDecision::Retry
    }

    /// Notes a first token.
    pub(crate) fn first_token(&mut self, now: MonotonicTime, ticket: &mut Ticket) {
        self.router.record_first_token(now, ticket);
    }

    /// Notes that a request is over.
    pub(crate) fn finished(&mut self, now: MonotonicTime, ticket: &Ticket, completion: Completion) {
        self.router.record_finished(now, ticket, completion);
    }
}

fn send_whole(engine: Option<usize>) -> Choice {
    match engine {
        Some(engine) => Choice::Send {
            engine,
            placement: Placement::Whole,
        },
        None => Choice::Refuse {
            retry_after: USUAL_RETRY_AFTER,
        },
    }
}
