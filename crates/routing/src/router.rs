//! The router of one node.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_decision::Candidate;
use dalestand_types::{EngineId, ModelName, MonotonicTime, Priority, Role};
use rand::Rng;

use crate::admission::wait_if_unreachable;
use crate::choice::{Choice, Chooser};
use crate::class_meter::FadingRate;
use crate::config::RouterConfig;
use crate::estimate::Estimator;
use crate::learning::Learned;
use crate::overload::{RetryAfterBounds, RetryAfterSchedule};
use crate::prefix::{PrefixMemory, engine_hash};
use crate::request::{Placement, RouteDecision, RoutePhase, RouteRefusal, RouteRequest};
use crate::track::{Completion, Ticket, Tracks};
use crate::usables::{Usables, home_weight};
use crate::view::{EngineView, FleetView};

/// Time constant of the rate of admissions, in seconds: a model that is asked for rarely has some in it.
const ADMISSION_RATE_TIME_S: f64 = 10.0;

/// Callers of models rank the more important request higher; slots go to the lowest rank first.
fn urgency(priority: Priority) -> u8 {
    u8::MAX - priority.0
}

/// Chooses engines on a picture that is always somewhat old, corrected by what this node itself
/// has sent, at speeds learnt from what the engines did with it.
#[derive(Clone, Debug)]
pub struct Router {
    config: RouterConfig,
    learned: Learned,
    tracks: Tracks,
    prefixes: PrefixMemory,
    /// Requests admitted a second, by model.
    admitted: HashMap<ModelName, FadingRate>,
    returns: RetryAfterSchedule<ModelName>,
}

impl Router {
    /// A router that has sent nothing.
    pub fn new(config: RouterConfig) -> Self {
        Self {
            learned: Learned::new(config.prior_speeds),
            tracks: Tracks::default(),
            prefixes: PrefixMemory::new(config.prefixes_remembered),
            admitted: HashMap::new(),
            returns: RetryAfterSchedule::default(),
            config,
        }
    }

    /// Chooses an engine for the next phase of a request.
    pub fn decide<R: Rng>(
        &mut self,
        now: MonotonicTime,
        view: &FleetView,
        request: &RouteRequest,
        random: &mut R,
    ) -> RouteDecision {
        let mut usables = Usables::of(&self.config, now, view, request);
        let mut candidates = std::mem::take(&mut usables.excluded);
        let prefix = self.prefixes.longest_known(&request.blocks);
        let estimator = Estimator {
            learned: &self.learned,
            tracks: &self.tracks,
            request,
            prefix: prefix.as_ref(),
            home_weight: home_weight(prefix.as_ref(), &usables),
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
            RoutePhase::Start => chooser.choose_start(&mut usables, random, &mut note),
            RoutePhase::Prefilled { .. } => {
                chooser.choose_decode(&mut usables.decode, random, &mut note)
            }
        };
        let shortest = self.config.shortest_retry_after;
        let refusal = match &choice {
            None if usables.full => Some((RouteRefusal::Full, shortest)),
            None => Some((RouteRefusal::NoEngine, shortest)),
            Some(choice) => self
                .unreachable(request, choice)
                .map(|wait| (RouteRefusal::DeadlineUnreachable, wait)),
        };
        let choice = match (choice, refusal) {
            (Some(choice), None) => choice,
            (_, refusal) => {
                let (reason, wait) = refusal.unwrap_or((RouteRefusal::NoEngine, shortest));
                let longest = self.config.longest_retry_after;
                return RouteDecision::Refuse {
                    reason,
                    retry_after: self.return_slot(now, request, wait, longest),
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
        let new_rate = || FadingRate::over(ADMISSION_RATE_TIME_S);
        let rate = self.admitted.entry(model.clone()).or_insert_with(new_rate);
        rate.count(now, 1.0);
    }

    /// After how long a refused caller is to come back.
    fn return_slot(
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
            .returns
            .assign(now, &request.model, urgency, admitted_per_s, bounds);
        slot.delay().min(longest)
    }

    /// Notes that a request was sent; the ticket is to be given back when it is over.
    pub fn sent(
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
            tracks: &self.tracks,
            request,
            prefix: prefix.as_ref(),
            home_weight: 0,
            other_zone_s: 0.0,
            others_delay_weight: 0.0,
        };
        let estimate = match placement {
            Placement::DecodeOnly => estimator.output(engine, role),
            Placement::Whole | Placement::PrefillOnly => estimator.prompt(engine, role),
        };
        let ticket = Ticket {
            number: self.tracks.next_number(),
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
            prompt_share: estimate.prompt_share,
            queued: estimate.queued,
        };
        self.tracks.sent(&ticket, engine);
        if placement != Placement::DecodeOnly {
            self.prefixes.sent(&request.blocks, hash);
        }
        ticket
    }

    /// Notes the first token of a request (the end of the prompt for a prompt only).
    pub fn first_token(&mut self, now: MonotonicTime, ticket: &mut Ticket) {
        if ticket.first_token_at.is_some() {
            return;
        }
        ticket.first_token_at = Some(now);
        // A wait for a place in the batch says nothing about speed.
        if ticket.queued {
            return;
        }
        let seen_s = now.since(ticket.sent_at).as_secs_f64();
        let speeds = self.learned.role_mut(&ticket.pool, ticket.role);
        match ticket.placement {
            Placement::DecodeOnly => {
                speeds
                    .import
                    .observe(f64::from(ticket.prompt_tokens), seen_s);
            }
            Placement::Whole | Placement::PrefillOnly => {
                speeds.first_token.observe(ticket.tokens_ahead, seen_s);
            }
        }
    }

    /// Notes that a request is over.
    pub fn finished(&mut self, now: MonotonicTime, ticket: &Ticket, completion: Completion) {
        self.tracks.finished(ticket);
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
            let quiet_s = gap_s * (1.0 - ticket.prompt_share);
            let expected_s = speeds.token_gap.at(ticket.held);
            speeds.token_gap.observe(ticket.held, quiet_s);
            self.learned
                .observe_slowness(&ticket.engine, quiet_s, expected_s);
        }
    }

    /// Whether the deadline is out of reach; yields when to come back.
    fn unreachable(&self, request: &RouteRequest, choice: &Choice<'_>) -> Option<Duration> {
        // What has run its prompt was admitted and is never given up.
        if choice.placement == Placement::DecodeOnly {
            return None;
        }
        wait_if_unreachable(
            &self.config,
            &request.deadlines,
            request.priority,
            &choice.estimate.expected(),
        )
    }
}

impl RouteDecision {
    /// The engine chosen, if one was.
    pub fn engine(&self) -> Option<&EngineId> {
        match self {
            Self::Send { engine, .. } => Some(&engine.engine),
            Self::Refuse { .. } => None,
        }
    }
}
