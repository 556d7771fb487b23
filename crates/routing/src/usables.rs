//! Engines that may take a request, sorted by what they may do for it.

use dalestand_decision::{Candidate, Exclusion};
use dalestand_types::{MonotonicTime, Role};

use crate::config::RouterConfig;
use crate::prefix::{KnownPrefix, engine_hash, rendezvous_weight};
use crate::request::{RoutePhase, RouteRequest};
use crate::view::{EngineView, FleetView};

/// Engines left out that a decision keeps for the account.
const EXCLUSIONS_KEPT: usize = 16;

/// An engine that may take the request, with the role it serves in.
pub(crate) type Usable<'a> = (&'a EngineView, Role);

/// Engines by what they may do for the request.
#[derive(Default)]
pub(crate) struct Usables<'a> {
    pub(crate) whole: Vec<Usable<'a>>,
    pub(crate) prefill: Vec<Usable<'a>>,
    pub(crate) decode: Vec<Usable<'a>>,
    pub(crate) excluded: Vec<Candidate>,
    pub(crate) full: bool,
}

impl<'a> Usables<'a> {
    /// The engines of `view` that may take the request, and why others may not.
    pub(crate) fn of(
        config: &RouterConfig,
        now: MonotonicTime,
        view: &'a FleetView,
        request: &RouteRequest,
    ) -> Self {
        let mut usables = Self::default();
        for engine in &view.engines {
            if !engine.serves(&request.model, request.adapter.as_ref()) {
                continue;
            }
            let exclusion = match role_or_exclusion(config, now, engine, request) {
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
pub(crate) fn home_weight(prefix: Option<&KnownPrefix>, usables: &Usables<'_>) -> u64 {
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
pub(crate) fn holders_to_front(prefix: &KnownPrefix, usable: &mut [Usable<'_>]) -> usize {
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

/// The engine's role if it may take work, or why it may not.
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
