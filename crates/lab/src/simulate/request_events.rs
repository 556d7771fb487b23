//! Handling of requests at their nodes.

use std::time::Duration;

use dalestand_routing::{Completion, Deadlines, Placement, RoutePhase, RouteRequest};
use dalestand_types::{ModelName, Priority};

use super::event::{AttemptSignal, Event};
use super::node::RouteChoice;
use super::outcome::Outcome;
use super::request::Attempt;
use super::simulation::Simulation;

/// Rejections by engines after which a prefilled request waits before the next attempt.
const MAX_REJECTIONS: usize = 3;

/// Maximum number of restarts of a request after engine failures.
const MAX_RESTARTS: u32 = 3;

/// Delay before a prefilled request without an engine is dispatched again.
const REDISPATCH_DELAY_US: u64 = 20_000;

impl Simulation<'_> {
    /// Chooses an engine for the next phase of a request and sends an attempt to it.
    pub(crate) fn dispatch(&mut self, request: usize) {
        let route = self.route_request(request);
        let state = &self.requests[request];
        let node = self.offered[state.offered].node;
        let now = self.now();
        if state.rejections + state.restarts == 0 && state.prefilled.is_none() {
            self.nodes[node].record_first_attempt();
        }
        let choice = self.nodes[node].choose(now, self.fleet, &route);
        match choice {
            RouteChoice::Send { engine, placement } => {
                let ticket = self.nodes[node].record_sent(now, engine, &route, placement);
                let attempt = self.attempts.len();
                self.attempts.push(Attempt {
                    request,
                    node,
                    engine,
                    incarnation: 0,
                    placement,
                    ticket,
                    is_open: true,
                });
                self.send_attempt(attempt);
            }
            RouteChoice::Reject { .. } if state.prefilled.is_some() => {
                self.redispatch_later(request)
            }
            RouteChoice::Reject { retry_after } => self.reject(request, retry_after),
        }
    }

    fn route_request(&self, request: usize) -> RouteRequest {
        let state = &self.requests[request];
        let offered = &self.offered[state.offered];
        let class = &self.scenario.classes[offered.class];
        let zone = self.fleet.nodes[offered.node];
        let mut route = RouteRequest::new(
            ModelName::from(&*class.pool),
            self.fleet.zone_names[zone].clone(),
            offered.prompt_tokens,
            class.output.max,
        );
        let elapsed_us = self.now_us - state.sent_us + self.scenario.network.caller_us;
        let remaining = |limit_ms: u64| {
            let remaining_us = (limit_ms * 1_000).saturating_sub(elapsed_us);
            Duration::from_micros(remaining_us)
        };
        route.deadlines = Deadlines {
            first_token: class.first_token_ms.map(remaining),
            whole: Some(remaining(class.deadline_ms)),
        };
        route.priority = Priority(class.priority);
        route.may_split = self.may_split(&class.pool);
        route.tried = state.tried.clone();
        match state.prefilled {
            Some((engine, _)) => {
                route.phase = RoutePhase::Prefilled {
                    engine: self.fleet.engines[engine].id.clone(),
                };
            }
            None => route.blocks = offered.blocks(state.offered),
        }
        route
    }

    fn may_split(&self, pool: &str) -> bool {
        let pools = &self.scenario.pools;
        pools.iter().any(|candidate| {
            candidate.name == pool && candidate.repeatable && candidate.roles.len() > 1
        })
    }

    /// Dispatches a prefilled request again after a delay: an admitted request is not rejected for
    /// lack of capacity.
    fn redispatch_later(&mut self, request: usize) {
        self.requests[request].tried.clear();
        self.schedule_after(REDISPATCH_DELAY_US, Event::Redispatch { request });
    }

    fn reject(&mut self, request: usize, retry_after: Duration) {
        self.finish(request, Outcome::NotRun);
        if self.scenario.refused_callers_return && !self.requests[request].is_caller_retry {
            let delay_us = Self::to_micros(retry_after) + 2 * self.scenario.network.caller_us;
            self.schedule_after(delay_us, Event::CallerRetry { request });
            self.open_requests += 1;
        }
    }

    /// Handles the retry of a rejected caller.
    pub(crate) fn retry_as_caller(&mut self, request: usize) {
        let state = &self.requests[request];
        let retry = state.caller_retry(self.now_us, &self.offered[state.offered]);
        let request = self.requests.len();
        self.requests.push(retry);
        self.metrics.returned += 1;
        self.dispatch(request);
    }

    /// Handles a signal about an attempt at its node.
    pub(crate) fn handle_signal(&mut self, attempt_index: usize, signal: AttemptSignal) {
        if !self.attempts[attempt_index].is_open {
            return;
        }
        let attempt = &mut self.attempts[attempt_index];
        let (request, node) = (attempt.request, attempt.node);
        let now = dalestand_types::MonotonicTime(self.now_us);
        match signal {
            AttemptSignal::FirstToken { cached } => {
                self.nodes[node].record_first_token(now, &mut attempt.ticket);
                self.record_first_token(attempt_index, cached);
            }
            AttemptSignal::Finished => {
                let tokens = self.offered[self.requests[request].offered].output_tokens;
                self.close(
                    attempt_index,
                    Completion {
                        output_tokens: Some(tokens),
                        cached_tokens: None,
                    },
                );
                self.complete(request);
            }
            AttemptSignal::Prefilled { cached } => {
                self.nodes[node].record_first_token(now, &mut attempt.ticket);
                let exporter = (attempt.engine, attempt.incarnation);
                self.record_prompt(attempt_index, cached);
                self.close(
                    attempt_index,
                    Completion {
                        output_tokens: None,
                        cached_tokens: Some(cached),
                    },
                );
                self.requests[request].prefilled = Some(exporter);
                self.requests[request].tried.clear();
                self.dispatch(request);
            }
            AttemptSignal::Refused | AttemptSignal::Unreachable => {
                self.close(attempt_index, Completion::default());
                self.handle_rejection(attempt_index);
            }
            AttemptSignal::ImportFailed => {
                self.close(attempt_index, Completion::default());
                self.restart_request(request);
            }
            AttemptSignal::ConnectionLost => {
                self.close(attempt_index, Completion::default());
                self.handle_lost_attempt(attempt_index);
            }
        }
    }

    fn close(&mut self, attempt_index: usize, completion: Completion) {
        let now = self.now();
        let attempt = &mut self.attempts[attempt_index];
        attempt.is_open = false;
        self.nodes[attempt.node].record_finished(now, &attempt.ticket, completion);
    }

    fn record_first_token(&mut self, attempt_index: usize, cached: u32) {
        let (request, placement) = {
            let attempt = &self.attempts[attempt_index];
            (attempt.request, attempt.placement)
        };
        let at_us = self.now_us + self.scenario.network.caller_us;
        let state = &mut self.requests[request];
        if state.first_token_at_us.is_none() {
            state.first_token_at_us = Some(at_us);
            self.metrics.first_token.add(at_us - state.sent_us);
        }
        if placement == Placement::Whole {
            self.record_prompt(attempt_index, cached);
        }
    }

    fn record_prompt(&mut self, attempt_index: usize, cached: u32) {
        let request = self.attempts[attempt_index].request;
        let offered = &self.offered[self.requests[request].offered];
        self.metrics.prompt_tokens += u64::from(offered.prompt_tokens);
        self.metrics.cached_tokens += u64::from(cached);
    }

    fn handle_rejection(&mut self, attempt_index: usize) {
        let (request, engine) = {
            let attempt = &self.attempts[attempt_index];
            (attempt.request, attempt.engine)
        };
        let id = self.fleet.engines[engine].id.clone();
        let state = &mut self.requests[request];
        state.tried.push(id);
        state.rejections += 1;
        if state.prefilled.is_some() {
            if state.tried.len() >= MAX_REJECTIONS {
                self.redispatch_later(request);
            } else {
                self.dispatch(request);
            }
            return;
        }
        let retries = state.rejections - 1;
        let node = self.offered[state.offered].node;
        let repeatable = self.is_repeatable(request);
        if self.nodes[node].may_retry(retries, repeatable) {
            self.dispatch(request);
        } else {
            self.reject(request, Duration::from_secs(1));
        }
    }

    /// Handles the loss of an attempt: a repeatable request restarts, and any other ends as
    /// unknown.
    fn handle_lost_attempt(&mut self, attempt_index: usize) {
        let request = self.attempts[attempt_index].request;
        if self.is_repeatable(request) {
            self.restart_request(request);
        } else {
            self.finish(request, Outcome::Unknown);
        }
    }

    /// Whether a request may run more than once.
    pub(crate) fn is_repeatable(&self, request: usize) -> bool {
        let offered = &self.offered[self.requests[request].offered];
        let class = &self.scenario.classes[offered.class];
        let pools = &self.scenario.pools;
        pools
            .iter()
            .any(|pool| pool.name == class.pool && pool.repeatable)
    }

    fn restart_request(&mut self, request: usize) {
        if let Some(exporter) = self.requests[request].prefilled.take() {
            self.release_export(exporter);
        }
        let state = &mut self.requests[request];
        state.tried.clear();
        state.restarts += 1;
        if state.restarts > MAX_RESTARTS {
            self.finish(request, Outcome::Unknown);
        } else {
            self.dispatch(request);
        }
    }

    fn complete(&mut self, request: usize) {
        let state = &self.requests[request];
        let class = &self.scenario.classes[self.offered[state.offered].class];
        let at_us = self.now_us + self.scenario.network.caller_us;
        let within = |limit_ms: u64, reached_us: u64| {
            reached_us.saturating_sub(state.sent_us) <= limit_ms * 1_000
        };
        let first_in_time = match (class.first_token_ms, state.first_token_at_us) {
            (Some(limit_ms), Some(first_us)) => within(limit_ms, first_us),
            _ => true,
        };
        let in_time = first_in_time && within(class.deadline_ms, at_us);
        self.finish(request, Outcome::Complete { in_time });
    }

    /// Records the final outcome of a request.
    fn finish(&mut self, request: usize, outcome: Outcome) {
        self.open_requests -= 1;
        let state = &self.requests[request];
        if state.is_caller_retry {
            if matches!(outcome, Outcome::Complete { .. }) {
                self.metrics.returned_admitted += 1;
            }
            return;
        }
        self.metrics.record_outcome(state.sent_us, outcome);
    }
}
