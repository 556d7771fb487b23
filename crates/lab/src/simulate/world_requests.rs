//! What happens to requests at their nodes.

use std::time::Duration;

use dalestand_routing::{Completion, Deadlines, Placement, RoutePhase, RouteRequest};
use dalestand_types::{ModelName, Priority};

use super::event::{Event, Signal};
use super::node::Choice;
use super::outcome::Outcome;
use super::request::Attempt;
use super::world::World;

/// Refusals by engines after which a request whose prompt has run pauses.
const MAX_REFUSALS: usize = 3;

/// Times a request is started again after engines broke.
const MAX_RESTARTS: u32 = 3;

/// Pause before a request whose prompt has run looks for an engine again.
const REDISPATCH_US: u64 = 20_000;

impl World<'_> {
    /// Chooses an engine for a request's next phase and sends it there.
    pub(crate) fn dispatch(&mut self, request: usize) {
        let route = self.route(request);
        let known = &self.requests[request];
        let node = self.offered[known.offered].node;
        let now = self.now();
        if known.refusals + known.restarts == 0 && known.prefilled.is_none() {
            self.nodes[node].first_attempt();
        }
        let choice = self.nodes[node].choose(now, self.fleet, &route);
        match choice {
            Choice::Send { engine, placement } => {
                let ticket = self.nodes[node].sent(now, engine, &route, placement);
                let attempt = self.attempts.len();
                self.attempts.push(Attempt {
                    request,
                    node,
                    engine,
                    incarnation: 0,
                    placement,
                    ticket,
                    open: true,
                });
                self.send(attempt);
            }
            Choice::Refuse { .. } if known.prefilled.is_some() => self.try_again_later(request),
            Choice::Refuse { retry_after } => self.refuse(request, retry_after),
        }
    }

    fn route(&self, request: usize) -> RouteRequest {
        let known = &self.requests[request];
        let offered = &self.offered[known.offered];
        let class = &self.scenario.classes[offered.class];
        let zone = self.fleet.nodes[offered.node];
        let mut route = RouteRequest::new(
            ModelName::from(&*class.pool),
            self.fleet.zone_names[zone].clone(),
            offered.prompt_tokens,
            class.output.max,
        );
        let passed_us = self.now_us - known.sent_us + self.scenario.network.caller_us;
        let left = |limit_ms: u64| {
            let left_us = (limit_ms * 1_000).saturating_sub(passed_us);
            Duration::from_micros(left_us)
        };
        route.deadlines = Deadlines {
            first_token: class.first_token_ms.map(left),
            whole: Some(left(class.deadline_ms)),
        };
        route.priority = Priority(class.priority);
        route.may_split = self.may_split(&class.pool);
        route.tried = known.tried.clone();
        match known.prefilled {
            Some((engine, _)) => {
                route.phase = RoutePhase::Prefilled {
                    engine: self.fleet.engines[engine].id.clone(),
                };
            }
            None => route.blocks = offered.blocks(known.offered),
        }
        route
    }

    fn may_split(&self, pool: &str) -> bool {
        let pools = &self.scenario.pools;
        pools
            .iter()
            .any(|known| known.name == pool && known.repeatable && known.roles.len() > 1)
    }

    /// What was admitted is never given up for want of room.
    fn try_again_later(&mut self, request: usize) {
        self.requests[request].tried.clear();
        self.after(REDISPATCH_US, Event::Redispatch { request });
    }

    fn refuse(&mut self, request: usize, retry_after: Duration) {
        self.answer(request, Outcome::NotRun);
        if self.scenario.refused_callers_return && !self.requests[request].returned {
            let delay_us = Self::micros(retry_after) + 2 * self.scenario.network.caller_us;
            self.after(delay_us, Event::Return { request });
            self.open_requests += 1;
        }
    }

    /// A refused caller comes back.
    pub(crate) fn come_back(&mut self, request: usize) {
        let known = &self.requests[request];
        let again = known.sent_again(self.now_us, &self.offered[known.offered]);
        let request = self.requests.len();
        self.requests.push(again);
        self.measures.returned += 1;
        self.dispatch(request);
    }

    /// A node hears of an attempt.
    pub(crate) fn hear(&mut self, number: usize, signal: Signal) {
        if !self.attempts[number].open {
            return;
        }
        let attempt = &mut self.attempts[number];
        let (request, node) = (attempt.request, attempt.node);
        let now = dalestand_types::MonotonicTime(self.now_us);
        match signal {
            Signal::FirstToken { cached } => {
                self.nodes[node].first_token(now, &mut attempt.ticket);
                self.note_first_token(number, cached);
            }
            Signal::Finished => {
                let tokens = self.offered[self.requests[request].offered].output_tokens;
                self.close(
                    number,
                    Completion {
                        output_tokens: Some(tokens),
                        cached_tokens: None,
                    },
                );
                self.complete(request);
            }
            Signal::Prefilled { cached } => {
                self.nodes[node].first_token(now, &mut attempt.ticket);
                let exporter = (attempt.engine, attempt.incarnation);
                self.note_prompt(number, cached);
                self.close(
                    number,
                    Completion {
                        output_tokens: None,
                        cached_tokens: Some(cached),
                    },
                );
                self.requests[request].prefilled = Some(exporter);
                self.requests[request].tried.clear();
                self.dispatch(request);
            }
            Signal::Refused | Signal::NotReached => {
                self.close(number, Completion::default());
                self.engine_refused(number);
            }
            Signal::ImportFailed => {
                self.close(number, Completion::default());
                self.start_over(request);
            }
            Signal::Broken => {
                self.close(number, Completion::default());
                self.engine_broke(number);
            }
        }
    }

    fn close(&mut self, number: usize, completion: Completion) {
        let now = self.now();
        let attempt = &mut self.attempts[number];
        attempt.open = false;
        self.nodes[attempt.node].finished(now, &attempt.ticket, completion);
    }

    fn note_first_token(&mut self, number: usize, cached: u32) {
        let (request, placement) = {
            let attempt = &self.attempts[number];
            (attempt.request, attempt.placement)
        };
        let at_us = self.now_us + self.scenario.network.caller_us;
        let known = &mut self.requests[request];
        if known.first_token_us.is_none() {
            known.first_token_us = Some(at_us);
            self.measures.first_token.add(at_us - known.sent_us);
        }
        if placement == Placement::Whole {
            self.note_prompt(number, cached);
        }
    }

    fn note_prompt(&mut self, number: usize, cached: u32) {
        let request = self.attempts[number].request;
        let offered = &self.offered[self.requests[request].offered];
        self.measures.prompt_tokens += u64::from(offered.prompt_tokens);
        self.measures.cached_tokens += u64::from(cached);
    }

    fn engine_refused(&mut self, number: usize) {
        let (request, engine) = {
            let attempt = &self.attempts[number];
            (attempt.request, attempt.engine)
        };
        let id = self.fleet.engines[engine].id.clone();
        let known = &mut self.requests[request];
        known.tried.push(id);
        known.refusals += 1;
        if known.prefilled.is_some() {
            if known.tried.len() >= MAX_REFUSALS {
                self.try_again_later(request);
            } else {
                self.dispatch(request);
            }
            return;
        }
        let retries = known.refusals - 1;
        let node = self.offered[known.offered].node;
        let repeatable = self.is_repeatable(request);
        if self.nodes[node].may_retry(retries, repeatable) {
            self.dispatch(request);
        } else {
            self.refuse(request, Duration::from_secs(1));
        }
    }

    /// An engine broke: what may be repeated starts over, of the rest it is unknown whether it ran.
    fn engine_broke(&mut self, number: usize) {
        let request = self.attempts[number].request;
        if self.is_repeatable(request) {
            self.start_over(request);
        } else {
            self.answer(request, Outcome::Unknown);
        }
    }

    /// Whether a request may run again.
    pub(crate) fn is_repeatable(&self, request: usize) -> bool {
        let offered = &self.offered[self.requests[request].offered];
        let class = &self.scenario.classes[offered.class];
        let pools = &self.scenario.pools;
        pools
            .iter()
            .any(|pool| pool.name == class.pool && pool.repeatable)
    }

    fn start_over(&mut self, request: usize) {
        if let Some(exporter) = self.requests[request].prefilled.take() {
            self.release_export(exporter);
        }
        let known = &mut self.requests[request];
        known.tried.clear();
        known.restarts += 1;
        if known.restarts > MAX_RESTARTS {
            self.answer(request, Outcome::Unknown);
        } else {
            self.dispatch(request);
        }
    }

    fn complete(&mut self, request: usize) {
        let known = &self.requests[request];
        let class = &self.scenario.classes[self.offered[known.offered].class];
        let at_us = self.now_us + self.scenario.network.caller_us;
        let within = |limit_ms: u64, reached_us: u64| {
            reached_us.saturating_sub(known.sent_us) <= limit_ms * 1_000
        };
        let first_in_time = match (class.first_token_ms, known.first_token_us) {
            (Some(limit_ms), Some(first_us)) => within(limit_ms, first_us),
            _ => true,
        };
        let in_time = first_in_time && within(class.deadline_ms, at_us);
        self.answer(request, Outcome::Complete { in_time });
    }

    /// Gives a request its final answer.
    fn answer(&mut self, request: usize, outcome: Outcome) {
        self.open_requests -= 1;
        let known = &self.requests[request];
        if known.returned {
            if matches!(outcome, Outcome::Complete { .. }) {
                self.measures.returned_admitted += 1;
            }
            return;
        }
        self.measures.answered(known.sent_us, outcome);
    }
}
