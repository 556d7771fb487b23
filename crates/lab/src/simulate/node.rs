//! Simulated node with its own, stale view of the fleet and the routing of a policy.

use std::time::Duration;

use dalestand_routing::{
    Completion, EngineView, FailedAttempt, FailureKind, FleetView, Placement, RetryBudget,
    RetryBudgetConfig, RetryDecision, RouteDecision, RouteRequest, Router, RouterConfig, Ticket,
};
use dalestand_types::{GroupDigest, Incarnation, MonotonicTime, Revision, Role};
use rand_chacha::ChaCha8Rng;

use super::fleet::Fleet;
use super::policy::Routing;

/// Retry delay of policies that compute none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum retries of a request under policies without a retry budget.
const MAX_RETRIES_WITHOUT_BUDGET: u32 = 2;

/// Token rates of an engine, as measured by the lease holder of its group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenRates {
    pub(crate) prefill_per_s: f64,
    pub(crate) decode_per_s: f64,
}

/// Routing decision of a node for a request.
pub(crate) enum RouteChoice {
    /// Send the request to this engine.
    Send { engine: usize, placement: Placement },
    /// Reject the request.
    Reject { retry_after: Duration },
}

/// A simulated node.
pub(crate) struct Node {
    routing: Routing,
    view: FleetView,
    router: Router,
    retries: RetryBudget,
    random: ChaCha8Rng,
    round_robin_turn: usize,
}

impl Node {
    /// Creates a node whose view is the initial state of the fleet.
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
            round_robin_turn: 0,
        }
    }

    /// Updates the view from a group's digest; `engines` are the indices of the group's engines.
    pub(crate) fn apply_digest(
        &mut self,
        now: MonotonicTime,
        digest: &GroupDigest,
        rates: &[TokenRates],
        engines: &[usize],
    ) {
        for ((index, report), rates) in engines.iter().zip(&digest.engines).zip(rates) {
            let view = &mut self.view.engines[*index];
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

    /// Chooses an engine for a request by the policy's routing.
    pub(crate) fn choose(
        &mut self,
        now: MonotonicTime,
        fleet: &Fleet,
        request: &RouteRequest,
    ) -> RouteChoice {
        match self.routing {
            Routing::Dalestand => self.choose_by_router(now, fleet, request),
            Routing::RoundRobin => {
                let usable = self.usable_engines(request);
                self.round_robin_turn += 1;
                let turn = self.round_robin_turn;
                let engine = (!usable.is_empty()).then(|| usable[turn % usable.len()]);
                send_colocated(engine)
            }
            Routing::LeastLoaded => {
                let usable = self.usable_engines(request);
                let request_count = |index: &usize| {
                    let view = &self.view.engines[*index];
                    view.running + view.waiting
                };
                send_colocated(usable.into_iter().min_by_key(request_count))
            }
        }
    }

    fn choose_by_router(
        &mut self,
        now: MonotonicTime,
        fleet: &Fleet,
        request: &RouteRequest,
    ) -> RouteChoice {
        let decision = self
            .router
            .decide(now, &self.view, request, &mut self.random);
        match decision {
            RouteDecision::Send {
                engine, placement, ..
            } => match fleet.engine_index(&engine.engine) {
                Some(engine) => RouteChoice::Send { engine, placement },
                None => RouteChoice::Reject {
                    retry_after: DEFAULT_RETRY_AFTER,
                },
            },
            RouteDecision::Refuse { retry_after, .. } => RouteChoice::Reject { retry_after },
        }
    }

    fn usable_engines(&self, request: &RouteRequest) -> Vec<usize> {
        let engines = self.view.engines.iter().enumerate();
        engines
            .filter(|(_, view)| {
                view.accepting
                    && view.role == Some(Role::Mixed)
                    && view.serves(&request.model, None)
                    && !request.tried.contains(&view.engine)
            })
            .map(|(index, _)| index)
            .collect()
    }

    /// Records that a request was sent to an engine.
    pub(crate) fn record_sent(
        &mut self,
        now: MonotonicTime,
        engine: usize,
        request: &RouteRequest,
        placement: Placement,
    ) -> Ticket {
        let view = &self.view.engines[engine];
        self.router.record_sent(now, view, request, placement)
    }

    /// Records the first attempt at a request.
    pub(crate) fn record_first_attempt(&mut self) {
        self.retries.record_first_attempt();
    }

    /// Whether a request that an engine rejected may be sent to another one.
    pub(crate) fn may_retry(&mut self, retries: u32, repeatable: bool) -> bool {
        if self.routing != Routing::Dalestand {
            return retries < MAX_RETRIES_WITHOUT_BUDGET;
        }
        let attempt = FailedAttempt {
            kind: FailureKind::Refused,
            repeatable,
            retries,
        };
        self.retries.decide(&attempt) == RetryDecision::Retry
    }

    /// Records the first token of a request.
    pub(crate) fn record_first_token(&mut self, now: MonotonicTime, ticket: &mut Ticket) {
        self.router.record_first_token(now, ticket);
    }

    /// Records the end of a request.
    pub(crate) fn record_finished(
        &mut self,
        now: MonotonicTime,
        ticket: &Ticket,
        completion: Completion,
    ) {
        self.router.record_finished(now, ticket, completion);
    }
}

fn send_colocated(engine: Option<usize>) -> RouteChoice {
    match engine {
        Some(engine) => RouteChoice::Send {
            engine,
            placement: Placement::Whole,
        },
        None => RouteChoice::Reject {
            retry_after: DEFAULT_RETRY_AFTER,
        },
    }
}
