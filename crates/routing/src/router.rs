//! The router of one node.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_decision::{Candidate, Exclusion};
use dalestand_types::{AdapterName, EngineId, ModelName, MonotonicTime, ZoneName};
use rand::{Rng, RngExt as _};

use crate::view::{EngineView, FleetView};

/// Settings of the router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// Candidates drawn for one choice; drawing few avoids that all nodes take the same engine.
    pub sample_size: usize,
    /// An engine of which nothing was heard for this long is left out.
    pub silence_limit: Duration,
    /// Added score of an engine in another zone, in milliseconds.
    pub other_zone_penalty_ms: f64,
    /// Expected delay of one request that is held, in milliseconds.
    pub held_request_ms: f64,
    /// Expected delay of a queued prompt token, in milliseconds.
    pub prompt_token_ms: f64,
    /// Wait told to callers when no engine can take a request.
    pub retry_after: Duration,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            sample_size: 3,
            silence_limit: Duration::from_secs(10),
            other_zone_penalty_ms: 4.0,
            held_request_ms: 5.0,
            prompt_token_ms: 0.05,
            retry_after: Duration::from_secs(1),
        }
    }
}

/// What the router must know of a request.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// Model asked for.
    pub model: ModelName,
    /// Adapter asked for.
    pub adapter: Option<AdapterName>,
    /// Zone of the deciding node.
    pub zone: ZoneName,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Engines tried before.
    pub tried: Vec<EngineId>,
}

/// Why no engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteRefusal {
    /// No engine is known that serves the model now.
    NoEngine,
    /// Every engine that serves it is full, as far as is known.
    Full,
}

/// What was decided.
#[derive(Clone, Debug)]
pub enum RouteDecision {
    /// Send it to this engine.
    Send {
        engine: EngineView,
        candidates: Vec<Candidate>,
    },
    /// Refuse it; tell the caller when to come back.
    Refuse {
        reason: RouteRefusal,
        retry_after: Duration,
        candidates: Vec<Candidate>,
    },
}

/// Chooses engines on a picture that is always somewhat old, corrected by what this node itself
/// has sent.
pub struct Router {
    config: RouterConfig,
    in_flight: HashMap<EngineId, u32>,
}

impl Router {
    /// A router that has sent nothing.
    pub fn new(config: RouterConfig) -> Self {
        Self {
            config,
            in_flight: HashMap::new(),
        }
    }

    /// Chooses an engine.
    pub fn decide<R: Rng>(
        &self,
        now: MonotonicTime,
        view: &FleetView,
        request: &RouteRequest,
        random: &mut R,
    ) -> RouteDecision {
        let mut usable = Vec::new();
        let mut candidates = Vec::new();
        for engine in &view.engines {
            if !engine.serves(&request.model, request.adapter.as_ref()) {
                continue;
            }
            match self.exclusion(now, engine, request) {
                None => usable.push(engine),
                Some(exclusion) => candidates.push(Candidate {
                    engine: engine.engine.clone(),
                    score: None,
                    exclusion: Some(exclusion),
                    information_age_ms: now.since(engine.reported_at).as_millis() as u64,
                }),
            }
        }
        let sample = draw(&usable, self.config.sample_size, random);
        let mut best: Option<(&EngineView, f64)> = None;
        for engine in sample {
            let score = self.score(engine, request);
            candidates.push(Candidate {
                engine: engine.engine.clone(),
                score: Some(score),
                exclusion: None,
                information_age_ms: now.since(engine.reported_at).as_millis() as u64,
            });
            if best.is_none_or(|(_, lowest)| score < lowest) {
                best = Some((engine, score));
            }
        }
        match best {
            Some((engine, _)) => RouteDecision::Send {
                engine: engine.clone(),
                candidates,
            },
            None => self.refuse(candidates),
        }
    }

    /// Notes that a request was sent to `engine`.
    pub fn sent(&mut self, engine: &EngineId) {
        *self.in_flight.entry(engine.clone()).or_insert(0) += 1;
    }

    /// Notes that a request sent to `engine` is over.
    pub fn finished(&mut self, engine: &EngineId) {
        if let Some(count) = self.in_flight.get_mut(engine) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(engine);
            }
        }
    }

    fn refuse(&self, candidates: Vec<Candidate>) -> RouteDecision {
        let full = candidates
            .iter()
            .any(|one| one.exclusion == Some(Exclusion::Full));
        let reason = if full {
            RouteRefusal::Full
        } else {
            RouteRefusal::NoEngine
        };
        RouteDecision::Refuse {
            reason,
            retry_after: self.config.retry_after,
            candidates,
        }
    }

    fn exclusion(
        &self,
        now: MonotonicTime,
        engine: &EngineView,
        request: &RouteRequest,
    ) -> Option<Exclusion> {
        if !engine.accepting {
            return Some(Exclusion::Leaving);
        }
        let Some(role) = engine.role else {
            return Some(Exclusion::OutOfService);
        };
        if !role.runs_decode() {
            return Some(Exclusion::WrongRole);
        }
        if request.tried.contains(&engine.engine) {
            return Some(Exclusion::AlreadyTried);
        }
        if now.since(engine.reported_at) > self.config.silence_limit {
            return Some(Exclusion::Silent);
        }
        if self.held(engine) >= engine.capacity {
            return Some(Exclusion::Full);
        }
        None
    }

    /// Requests the engine holds: the larger of what it reported and what this node has there.
    fn held(&self, engine: &EngineView) -> u32 {
        let own = self.in_flight.get(&engine.engine).copied().unwrap_or(0);
        own.max(engine.running + engine.waiting)
    }

    fn score(&self, engine: &EngineView, request: &RouteRequest) -> f64 {
        let zone = if engine.zone == request.zone {
            0.0
        } else {
            self.config.other_zone_penalty_ms
        };
        let held = f64::from(self.held(engine)) * self.config.held_request_ms;
        let prompt = engine.queued_prefill_tokens as f64 * self.config.prompt_token_ms;
        zone + held + prompt
    }
}

/// Draws up to `count` different engines.
fn draw<'a, R: Rng>(
    engines: &[&'a EngineView],
    count: usize,
    random: &mut R,
) -> Vec<&'a EngineView> {
    let mut places: Vec<usize> = (0..engines.len()).collect();
    let count = count.min(places.len());
    for place in 0..count {
        let other = random.random_range(place..places.len());
        places.swap(place, other);
    }
    places[..count]
        .iter()
        .map(|place| engines[*place])
        .collect()
}
