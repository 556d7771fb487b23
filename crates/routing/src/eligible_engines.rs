//! Finds the engines that are eligible for a request, by placement.

use dalestand_decision::{Candidate, Exclusion};
use dalestand_types::{MonotonicTime, Role};

use crate::config::RouterConfig;
use crate::prefix::{KnownPrefix, engine_hash, rendezvous_weight};
use crate::request::{RoutePhase, RouteRequest};
use crate::view::{EngineView, FleetView};

/// Most excluded engines recorded with a decision.
const MAX_EXCLUSIONS: usize = 16;

/// An engine that may take the request, with its role.
pub(crate) type EligibleEngine<'a> = (&'a EngineView, Role);

/// Engines by what they may do for the request, and the excluded ones.
#[derive(Default)]
pub(crate) struct EligibleEngines<'a> {
    pub(crate) whole: Vec<EligibleEngine<'a>>,
    pub(crate) prefill: Vec<EligibleEngine<'a>>,
    pub(crate) decode: Vec<EligibleEngine<'a>>,
    pub(crate) excluded: Vec<Candidate>,
    pub(crate) full: bool,
}

impl<'a> EligibleEngines<'a> {
    /// Sorts the engines of `view` that serve the request's model into eligible and excluded ones.
    pub(crate) fn of(
        config: &RouterConfig,
        now: MonotonicTime,
        view: &'a FleetView,
        request: &RouteRequest,
    ) -> Self {
        let mut eligible = Self::default();
        for engine in &view.engines {
            if !engine.serves(&request.model, request.adapter.as_ref()) {
                continue;
            }
            let exclusion = match role_or_exclusion(config, now, engine, request) {
                Ok(role) => {
                    if eligible.add(engine, role, request) {
                        continue;
                    }
                    Exclusion::WrongRole
                }
                Err(exclusion) => exclusion,
            };
            eligible.full |= exclusion == Exclusion::Full;
            if eligible.excluded.len() < MAX_EXCLUSIONS {
                eligible.excluded.push(Candidate {
                    engine: engine.engine.clone(),
                    score: None,
                    exclusion: Some(exclusion),
                    information_age_ms: now.since(engine.reported_at).as_millis() as u64,
                });
            }
        }
        eligible
    }

    /// Adds an engine for what it may do. Returns false if its role does not fit the request.
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

/// The highest rendezvous weight among the engines that may run the prefill: that of the prefix's home.
pub(crate) fn home_weight(prefix: Option<&KnownPrefix>, eligible: &EligibleEngines<'_>) -> u64 {
    let Some(prefix) = prefix else {
        return 0;
    };
    let prefill_engines = eligible.whole.iter().chain(&eligible.prefill);
    prefill_engines
        .map(|(engine, _)| rendezvous_weight(prefix.hash, engine_hash(&engine.engine)))
        .max()
        .unwrap_or(0)
}

/// Moves the engines likely to have the prefix cached to the front: its home, and those that this node sent it to.
/// Returns their number.
pub(crate) fn holders_to_front(prefix: &KnownPrefix, eligible: &mut [EligibleEngine<'_>]) -> usize {
    let mut front = 0;
    let mut home: Option<(usize, u64)> = None;
    for index in 0..eligible.len() {
        let hash = engine_hash(&eligible[index].0.engine);
        let weight = rendezvous_weight(prefix.hash, hash);
        let is_heaviest = home.is_none_or(|(_, highest)| weight > highest);
        if prefix.held_by(hash) {
            eligible.swap(index, front);
            if let Some((home_index, _)) = &mut home
                && *home_index == front
            {
                *home_index = index;
            }
            if is_heaviest {
                home = Some((front, weight));
            }
            front += 1;
        } else if is_heaviest {
            home = Some((index, weight));
        }
    }
    match home {
        Some((index, _)) if index >= front => {
            eligible.swap(index, front);
            front + 1
        }
        _ => front,
    }
}

/// The engine's role if it may take the request, or why it is excluded.
fn role_or_exclusion(
    config: &RouterConfig,
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
    if now.since(engine.reported_at) > config.silence_limit {
        return Err(Exclusion::Silent);
    }
    if engine.running + engine.waiting >= engine.capacity {
        return Err(Exclusion::Full);
    }
    Ok(role)
}
