//! Selects engines for the requests of one node.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_decision::Candidate;
use dalestand_types::{EngineId, ModelName, MonotonicTime, Priority, Role};
use rand::Rng;

use crate::admission::retry_after_if_unreachable;
use crate::choice::{Choice, Chooser};
use crate::class_meter::DecayingRate;
use crate::config::RouterConfig;
use crate::eligible_engines::{EligibleEngines, home_weight};
use crate::estimate::Estimator;
use crate::learning::LearnedSpeeds;
use crate::overload::{RetryAfterBounds, RetryAfterSchedule};
use crate::prefix::{PrefixMemory, engine_hash};
use crate::request::{Placement, RouteDecision, RoutePhase, RouteRefusal, RouteRequest};
use crate::sent_requests::{Completion, SentRequests, Ticket};
use crate::view::{EngineView, FleetView};

/// Time constant of the admission rate, in seconds: long enough to measure rarely requested models.
const ADMISSION_RATE_TIME_CONSTANT_S: f64 = 10.0;

/// Converts a priority, where a higher number is more important, to the order of retry slots, where 0 comes first.
fn urgency(priority: Priority) -> u8 {
    u8::MAX - priority.0
}

/// Selects engines from reports that are always somewhat out of date, corrected for the requests that this node has
/// sent since, and with speeds learned from this node's requests.
#[derive(Clone, Debug)]
pub struct Router {
    config: RouterConfig,
    learned: LearnedSpeeds,
    sent_requests: SentRequests,
    prefixes: PrefixMemory,
    /// Requests admitted per second, by model.
    admitted: HashMap<ModelName, DecayingRate>,
    retries: RetryAfterSchedule<ModelName>,
}

impl Router {
    /// A router without any observations.
    pub fn new(config: RouterConfig) -> Self {
        Self {
            learned: LearnedSpeeds::new(config.prior_speeds),
            sent_requests: SentRequests::default(),
            prefixes: PrefixMemory::new(config.max_prefixes),
            admitted: HashMap::new(),
            retries: RetryAfterSchedule::default(),
            config,
        }
    }

    /// Selects an engine for the next phase of a request, or refuses it.
    pub fn decide<R: Rng>(
        &mut self,
        now: MonotonicTime,
        view: &FleetView,
        request: &RouteRequest,
        random: &mut R,
    ) -> RouteDecision {
        let mut eligible = EligibleEngines::of(&self.config, now, view, request);
        let mut candidates = std::mem::take(&mut eligible.excluded);
        let prefix = self.prefixes.longest_known(&request.blocks);
        let estimator = Estimator {
            learned: &self.learned,
            sent_requests: &self.sent_requests,
            request,
            prefix: prefix.as_ref(),
            home_weight: home_weight(prefix.as_ref(), &eligible),
            other_zone_s: self.config.other_zone_penalty_ms / 1_000.0,
            others_delay_weight: self.config.others_delay_weight,
        };
        let chooser = Chooser {
            config: &self.config,
            estimator,
        };
        let mut note = |engine: &EngineView, score_s: f64| {
            candidates.push(Candidate {
                engine: engine.engine.clone(),
                score: Some(score_s * 1_000.0),
                exclusion: None,
                information_age_ms: now.since(engine.reported_at).as_millis() as u64,
            });
        };
        let choice = match request.phase {
            RoutePhase::Start => chooser.choose_start(&mut eligible, random, &mut note),
            RoutePhase::Prefilled { .. } => {
                chooser.choose_decode(&mut eligible.decode, random, &mut note)
            }
        };
        let shortest = self.config.shortest_retry_after;
        let refusal = match &choice {
            None if eligible.full => Some((RouteRefusal::Full, shortest)),
            None => Some((RouteRefusal::NoEngine, shortest)),
            Some(choice) => self
                .retry_if_unreachable(request, choice)
                .map(|wait| (RouteRefusal::DeadlineUnreachable, wait)),
        };
        let choice = match (choice, refusal) {
            (Some(choice), None) => choice,
            (_, refusal) => {
                let (reason, wait) = refusal.unwrap_or((RouteRefusal::NoEngine, shortest));
                let longest = self.config.longest_retry_after;
                return RouteDecision::Refuse {
                    reason,
                    retry_after: self.retry_after(now, request, wait, longest),
                    candidates,
                };
            }
        };
        if request.phase == RoutePhase::Start && request.tried.is_empty() {
            self.count_admitted(now, &request.model);
        }
        RouteDecision::Send {
            engine: choice.engine.clone(),
            placement: choice.placement,
            expected: choice.estimate.expected(),
            candidates,
        }
    }

    fn count_admitted(&mut self, now: MonotonicTime, model: &ModelName) {
        let new_rate = || DecayingRate::with_time_constant(ADMISSION_RATE_TIME_CONSTANT_S);
        let rate = self.admitted.entry(model.clone()).or_insert_with(new_rate);
        rate.count(now, 1.0);
    }

    /// Retry delay of a refused caller.
    fn retry_after(
        &mut self,
        now: MonotonicTime,
        request: &RouteRequest,
        shortest: Duration,
        longest: Duration,
    ) -> Duration {
        let admitted = self.admitted.get(&request.model);
        let admitted_per_s = admitted.map_or(0.0, |rate| rate.at(now));
        let bounds = RetryAfterBounds { shortest, longest };
        let urgency = urgency(request.priority);
        let slot = self
            .retries
            .assign(now, &request.model, urgency, admitted_per_s, bounds);
        slot.delay().min(longest)
    }

    /// Records that a request was sent. The ticket is to be passed to [`Self::record_finished`] when it has ended.
    pub fn record_sent(
        &mut self,
        now: MonotonicTime,
        engine: &EngineView,
        request: &RouteRequest,
        placement: Placement,
    ) -> Ticket {
        let role = engine.role.unwrap_or(Role::Mixed);
        let prefix = self.prefixes.longest_known(&request.blocks);
        let hash = engine_hash(&engine.engine);
        let held_before = prefix.as_ref().filter(|known| known.held_by(hash));
        let prefix_tokens = held_before.map_or(0, |known| known.tokens.min(request.prompt_tokens));
        let estimator = Estimator {
            learned: &self.learned,
            sent_requests: &self.sent_requests,
            request,
            prefix: prefix.as_ref(),
            home_weight: 0,
            other_zone_s: 0.0,
            others_delay_weight: 0.0,
        };
        let estimate = match placement {
            Placement::DecodeOnly => estimator.decode_only(engine, role),
            Placement::Whole | Placement::PrefillOnly => estimator.prefill_only(engine, role),
        };
        let ticket = Ticket {
            number: self.sent_requests.next_number(),
            engine: engine.engine.clone(),
            pool: engine.pool.clone(),
            role,
            model: request.model.clone(),
            placement,
            sent_at: now,
            first_token_at: None,
            prompt_tokens: request.prompt_tokens,
            prefix_tokens,
            max_tokens: request.max_tokens,
            tokens_ahead: estimate.tokens_ahead,
            held: estimate.held,
            prefill_share: estimate.prefill_share,
            queued: estimate.queued,
        };
        self.sent_requests.insert(&ticket, engine);
        if placement != Placement::DecodeOnly {
            self.prefixes.record_sent(&request.blocks, hash);
        }
        ticket
    }

    /// Records the first token of a request (for a prefill only, its end).
    pub fn record_first_token(&mut self, now: MonotonicTime, ticket: &mut Ticket) {
        if ticket.first_token_at.is_some() {
            return;
        }
        ticket.first_token_at = Some(now);
        // The time includes a wait for a place in the batch and says nothing about speed.
        if ticket.queued {
            return;
        }
        let observed_s = now.since(ticket.sent_at).as_secs_f64();
        let speeds = self.learned.role_mut(&ticket.pool, ticket.role);
        match ticket.placement {
            Placement::DecodeOnly => {
                speeds
                    .import
                    .observe(f64::from(ticket.prompt_tokens), observed_s);
            }
            Placement::Whole | Placement::PrefillOnly => {
                speeds.first_token.observe(ticket.tokens_ahead, observed_s);
            }
        }
    }

    /// Records the end of a request.
    pub fn record_finished(&mut self, now: MonotonicTime, ticket: &Ticket, completion: Completion) {
        self.sent_requests.remove(ticket);
        if let Some(found) = completion.cached_tokens {
            let speeds = self.learned.role_mut(&ticket.pool, ticket.role);
            speeds.observe_prefix(ticket.prefix_tokens, found);
        }
        let (Some(tokens), Some(first_at)) = (completion.output_tokens, ticket.first_token_at)
        else {
            return;
        };
        if ticket.placement == Placement::PrefillOnly {
            return;
        }
        self.learned
            .observe_output(&ticket.model, ticket.max_tokens, tokens);
        if tokens > 1 {
            let gap_s = now.since(first_at).as_secs_f64() / f64::from(tokens - 1);
            let speeds = self.learned.role_mut(&ticket.pool, ticket.role);
            let unloaded_s = gap_s * (1.0 - ticket.prefill_share);
            let expected_s = speeds.token_gap.at(ticket.held);
            speeds.token_gap.observe(ticket.held, unloaded_s);
            self.learned
                .observe_slowness(&ticket.engine, unloaded_s, expected_s);
        }
    }

    /// Retry delay if the deadlines cannot be met, otherwise `None`.
    fn retry_if_unreachable(
        &self,
        request: &RouteRequest,
        choice: &Choice<'_>,
    ) -> Option<Duration> {
        // A request whose prefill has run was admitted and is not refused any more.
        if choice.placement == Placement::DecodeOnly {
            return None;
        }
        retry_after_if_unreachable(
            &self.config,
            &request.deadlines,
            request.priority,
            &choice.estimate.expected(),
        )
    }
}

impl RouteDecision {
    /// The selected engine, if any.
    pub fn engine(&self) -> Option<&EngineId> {
        match self {
            Self::Send { engine, .. } => Some(&engine.engine),
            Self::Refuse { .. } => None,
        }
    }
}
