//! The router of one node.

use std::time::Duration;

use dalestand_decision::{Candidate, Exclusion};
use dalestand_types::{EngineId, MonotonicTime, Role};
use rand::Rng;

use crate::config::RouterConfig;
use crate::estimate::{Estimate, Estimator};
use crate::learning::Learned;
use crate::prefix::{KnownPrefix, PrefixMemory, engine_hash, rendezvous_weight};
use crate::request::{Placement, RouteDecision, RoutePhase, RouteRefusal, RouteRequest};
use crate::sample::draw_front;
use crate::track::{Completion, Ticket, Tracks};
use crate::view::{EngineView, FleetView};

/// Engines left out that a decision keeps for the account.
const EXCLUSIONS_KEPT: usize = 16;

/// Chooses engines on a picture that is always somewhat old, corrected by what this node itself
/// has sent, at speeds learnt from what the engines did with it.
#[derive(Clone, Debug)]
pub struct Router {
    config: RouterConfig,
    learned: Learned,
    tracks: Tracks,
    prefixes: PrefixMemory,
}

/// An engine that may take the request, with the role it serves in.
type Usable<'a> = (&'a EngineView, Role);

/// Engines by what they may do for the request.
#[derive(Default)]
struct Usables<'a> {
    whole: Vec<Usable<'a>>,
    prefill: Vec<Usable<'a>>,
    decode: Vec<Usable<'a>>,
    excluded: Vec<Candidate>,
    full: bool,
}

/// The best choice of one kind.
struct Choice<'a> {
    engine: &'a EngineView,
    placement: Placement,
    estimate: Estimate,
    score_s: f64,
}

impl Router {
    /// A router that has sent nothing.
    pub fn new(config: RouterConfig) -> Self {
        Self {
            learned: Learned::new(config.prior_speeds),
            tracks: Tracks::default(),
            prefixes: PrefixMemory::new(config.prefixes_remembered),
            config,
        }
    }

    /// Chooses an engine for the next phase of a request.
    pub fn decide<R: Rng>(
        &self,
        now: MonotonicTime,
        view: &FleetView,
        request: &RouteRequest,
        random: &mut R,
    ) -> RouteDecision {
        let mut usables = self.usables(now, view, request);
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
        let mut note = |engine: &EngineView, score_s: f64| {
            candidates.push(Candidate {
                engine: engine.engine.clone(),
                score: Some(score_s * 1_000.0),
                exclusion: None,
                information_age_ms: now.since(engine.reported_at).as_millis() as u64,
            });
        };
        let choice = match request.phase {
            RoutePhase::Start => self.choose_start(&estimator, &mut usables, random, &mut note),
            RoutePhase::Prefilled { .. } => {
                self.choose_decode(&estimator, &mut usables.decode, random, &mut note)
            }
        };
        let Some(choice) = choice else {
            let reason = if usables.full {
                RouteRefusal::Full
            } else {
                RouteRefusal::NoEngine
            };
            return RouteDecision::Refuse {
                reason,
                retry_after: self.config.shortest_retry_after,
                candidates,
            };
        };
        if let Some(retry_after) = self.unreachable(request, &choice) {
            return RouteDecision::Refuse {
                reason: RouteRefusal::DeadlineUnreachable,
                retry_after,
                candidates,
            };
        }
        RouteDecision::Send {
            engine: choice.engine.clone(),
            placement: choice.placement,
            expected: choice.estimate.expected(),
            candidates,
        }
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

    fn usables<'a>(
        &self,
        now: MonotonicTime,
        view: &'a FleetView,
        request: &RouteRequest,
    ) -> Usables<'a> {
        let mut usables = Usables::default();
        for engine in &view.engines {
            if !engine.serves(&request.model, request.adapter.as_ref()) {
                continue;
            }
            let exclusion = match self.exclusion(now, engine, request) {
                Ok(role) => {
                    if usables.add(engine, role, request) {
                        continue;
                    }
                    Exclusion::WrongRole
                }
                Err(exclusion) => exclusion,
            };
            usables.full |= exclusion == Exclusion::Full;
            if usables.excluded.len() < EXCLUSIONS_KEPT {
                usables.excluded.push(Candidate {
                    engine: engine.engine.clone(),
                    score: None,
                    exclusion: Some(exclusion),
                    information_age_ms: now.since(engine.reported_at).as_millis() as u64,
                });
            }
        }
        usables
    }

    /// The engine's role if it may take work, or why it may not.
    fn exclusion(
        &self,
        now: MonotonicTime,
        engine: &EngineView,
        request: &RouteRequest,
    ) -> Result<Role, Exclusion> {
        if !engine.accepting {
            return Err(Exclusion::Leaving);
        }
        let role = engine.role.ok_or(Exclusion::OutOfService)?;
        if request.tried.contains(&engine.engine) {
            return Err(Exclusion::AlreadyTried);
        }
        if now.since(engine.reported_at) > self.config.silence_limit {
            return Err(Exclusion::Silent);
        }
        if engine.running + engine.waiting >= engine.capacity {
            return Err(Exclusion::Full);
        }
        Ok(role)
    }

    /// One engine for all of it, or a prompt engine with the output elsewhere, whichever is
    /// expected to end first.
    fn choose_start<'a, R: Rng>(
        &self,
        estimator: &Estimator<'_>,
        usables: &mut Usables<'a>,
        random: &mut R,
        note: &mut impl FnMut(&EngineView, f64),
    ) -> Option<Choice<'a>> {
        let whole = self.choose(
            estimator.prefix,
            &mut usables.whole,
            random,
            |engine, role| {
                let estimate = estimator.whole(engine, role);
                note(engine, estimate.score_s());
                (estimate, estimate.score_s())
            },
        );
        let whole = whole.map(|(engine, estimate, score_s)| Choice {
            engine,
            placement: Placement::Whole,
            estimate,
            score_s,
        });
        let split = self.choose_split(estimator, usables, random, note);
        match (whole, split) {
            (Some(whole), Some(split)) if split.score_s < whole.score_s => Some(split),
            (None, split) => split,
            (whole, _) => whole,
        }
    }

    /// The prompt on one engine and the output on another.
    fn choose_split<'a, R: Rng>(
        &self,
        estimator: &Estimator<'_>,
        usables: &mut Usables<'a>,
        random: &mut R,
        note: &mut impl FnMut(&EngineView, f64),
    ) -> Option<Choice<'a>> {
        if usables.prefill.is_empty() {
            return None;
        }
        let mut silent = |_: &EngineView, _: f64| ();
        let output = self.choose_decode(estimator, &mut usables.decode, random, &mut silent)?;
        let (engine, estimate, score_s) = self.choose(
            estimator.prefix,
            &mut usables.prefill,
            random,
            |engine, role| {
                let mut estimate = estimator.prompt(engine, role);
                if engine.engine == output.engine.engine {
                    // That would be the whole request on one engine.
                    return (estimate, f64::INFINITY);
                }
                estimate.first_token_s += output.estimate.first_token_s;
                estimate.output_s = output.estimate.output_s;
                note(engine, estimate.score_s());
                (estimate, estimate.score_s())
            },
        )?;
        score_s.is_finite().then_some(Choice {
            engine,
            placement: Placement::PrefillOnly,
            estimate,
            score_s,
        })
    }

    fn choose_decode<'a, R: Rng>(
        &self,
        estimator: &Estimator<'_>,
        usable: &mut [Usable<'a>],
        random: &mut R,
        note: &mut impl FnMut(&EngineView, f64),
    ) -> Option<Choice<'a>> {
        let (engine, estimate, score_s) = self.choose(None, usable, random, |engine, role| {
            let estimate = estimator.output(engine, role);
            note(engine, estimate.whole_s());
            (estimate, estimate.whole_s())
        })?;
        Some(Choice {
            engine,
            placement: Placement::DecodeOnly,
            estimate,
            score_s,
        })
    }

    /// Draws some engines, with those that are likely to hold the prefix, and takes the best.
    fn choose<'a, R: Rng>(
        &self,
        prefix: Option<&KnownPrefix>,
        usable: &mut [Usable<'a>],
        random: &mut R,
        mut estimate: impl FnMut(&'a EngineView, Role) -> (Estimate, f64),
    ) -> Option<(&'a EngineView, Estimate, f64)> {
        let mut front = prefix.map_or(0, |prefix| holders_to_front(prefix, usable));
        let sample_size = self.sample_size(usable);
        front += draw_front(&mut usable[front..], sample_size, random);
        let mut best: Option<(&EngineView, Estimate, f64)> = None;
        for (engine, role) in &usable[..front] {
            let (estimate, score_s) = estimate(engine, *role);
            if best.as_ref().is_none_or(|(_, _, lowest)| score_s < *lowest) {
                best = Some((engine, estimate, score_s));
            }
        }
        best
    }

    /// Candidates to draw: all of a few where this node sends much of their load, else a sample.
    fn sample_size(&self, usable: &[Usable<'_>]) -> usize {
        if usable.len() > self.config.look_at_all {
            return self.config.sample_size;
        }
        let held = usable
            .iter()
            .map(|(engine, _)| engine.running + engine.waiting);
        let own = usable
            .iter()
            .map(|(engine, _)| self.tracks.own_work(engine).in_flight);
        let (held, own) = (f64::from(held.sum::<u32>()), f64::from(own.sum::<u32>()));
        if own >= self.config.own_share_to_look_at_all * held {
            usable.len()
        } else {
            self.config.sample_size
        }
    }

    /// Whether the deadline is out of reach; yields when to come back.
    fn unreachable(&self, request: &RouteRequest, choice: &Choice<'_>) -> Option<Duration> {
        // What has run its prompt was admitted and is never given up.
        if choice.placement == Placement::DecodeOnly {
            return None;
        }
        let late = |expected_s: f64, left: Option<Duration>| {
            let left_s = left?.as_secs_f64() * self.config.admission_share;
            (expected_s > left_s).then_some(expected_s - left_s)
        };
        let deadlines = &request.deadlines;
        let first = late(choice.estimate.first_token_s, deadlines.first_token);
        let whole = late(choice.estimate.whole_s(), deadlines.whole);
        let over_s = match (first, whole) {
            (None, None) => return None,
            (first, whole) => first.unwrap_or(0.0).max(whole.unwrap_or(0.0)),
        };
        let wait = Duration::from_secs_f64(over_s);
        Some(wait.clamp(
            self.config.shortest_retry_after,
            self.config.longest_retry_after,
        ))
    }
}

impl<'a> Usables<'a> {
    /// Sorts an engine by what it may do; yields whether it may do anything.
    fn add(&mut self, engine: &'a EngineView, role: Role, request: &RouteRequest) -> bool {
        if let RoutePhase::Prefilled { .. } = request.phase {
            if role.runs_decode() {
                self.decode.push((engine, role));
            }
            return role.runs_decode();
        }
        if role.runs_prefill() && role.runs_decode() {
            self.whole.push((engine, role));
        }
        if request.may_split {
            if role.runs_prefill() {
                self.prefill.push((engine, role));
            }
            if role.runs_decode() {
                self.decode.push((engine, role));
            }
            return true;
        }
        role == Role::Mixed
    }
}

/// The highest weight among the engines that may run the prompt: that of the prefix's home.
fn home_weight(prefix: Option<&KnownPrefix>, usables: &Usables<'_>) -> u64 {
    let Some(prefix) = prefix else {
        return 0;
    };
    let prompt_engines = usables.whole.iter().chain(&usables.prefill);
    prompt_engines
        .map(|(engine, _)| rendezvous_weight(prefix.hash, engine_hash(&engine.engine)))
        .max()
        .unwrap_or(0)
}

/// Moves the engines likely to hold the prefix to the front: its home, and those this node sent it
/// to. Yields their number.
fn holders_to_front(prefix: &KnownPrefix, usable: &mut [Usable<'_>]) -> usize {
    let mut front = 0;
    let mut home: Option<(usize, u64)> = None;
    for place in 0..usable.len() {
        let hash = engine_hash(&usable[place].0.engine);
        let weight = rendezvous_weight(prefix.hash, hash);
        let heaviest = home.is_none_or(|(_, known)| weight > known);
        if prefix.held_by(hash) {
            usable.swap(place, front);
            if let Some((known, _)) = &mut home
                && *known == front
            {
                *known = place;
            }
            if heaviest {
                home = Some((front, weight));
            }
            front += 1;
        } else if heaviest {
            home = Some((place, weight));
        }
    }
    match home {
        Some((place, _)) if place >= front => {
            usable.swap(place, front);
            front + 1
        }
        _ => front,
    }
}

/// Engines named by a decision, for tests and accounts.
impl RouteDecision {
    /// The engine chosen, if one was.
    pub fn engine(&self) -> Option<&EngineId> {
        match self {
            Self::Send { engine, .. } => Some(&engine.engine),
            Self::Refuse { .. } => None,
        }
    }
}
