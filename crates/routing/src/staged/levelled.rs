//! Which of several engines a request goes to, where others are sent requests that no report shows yet.
//!
//! Answers a load in which many nodes choose among the same engines by reports some tens of milliseconds old. Were each
//! to take the best one, all requests of that time would go there. So each node takes the requests that others are
//! expected to have sent meanwhile, and its own, to fill the engines up to one level, as water fills a vessel, and draws
//! an engine by what it takes of them. Fresh reports leave nothing to fill but the best engine.

use super::StagedEngine;
use super::cost::EngineCost;

/// Least time that a request adds to an engine, in seconds: engines that are alike share requests.
const LEAST_ADDED_S: f64 = 1e-4;

/// An engine with what it costs.
pub(super) type Costed<'e> = (&'e StagedEngine, EngineCost);

/// One of `engines`, where others are expected to have sent `unreported` requests to them. `chance`, from 0 to 1, decides.
pub(super) fn draw_levelled<'e>(
    mut engines: Vec<Costed<'e>>,
    unreported: f64,
    chance: f64,
) -> Option<Costed<'e>> {
    engines.sort_by(|(_, one), (_, other)| one.cost_s.total_cmp(&other.cost_s));
    let requests = unreported.max(0.0) + 1.0;
    let level = level(&engines, requests)?;
    let mut left = chance * requests;
    for (engine, cost) in &engines {
        left -= share(cost, level);
        if left <= 0.0 {
            return Some((*engine, *cost));
        }
    }
    // Sums of fractions may fall short of the whole by a rounding.
    engines.into_iter().next()
}

/// Requests that an engine takes until it costs as much as `level`.
fn share(cost: &EngineCost, level: f64) -> f64 {
    ((level - cost.cost_s) / added_s(cost)).max(0.0)
}

fn added_s(cost: &EngineCost) -> f64 {
    cost.added_s.max(LEAST_ADDED_S)
}

/// What engines, the cheapest first, cost once they have taken so many requests.
fn level(engines: &[Costed<'_>], requests: f64) -> Option<f64> {
    let mut slots = 0.0;
    let mut filled = requests;
    let mut level = None;
    for (_, cost) in engines {
        if level.is_some_and(|level| cost.cost_s >= level) {
            break;
        }
        slots += 1.0 / added_s(cost);
        filled += cost.cost_s / added_s(cost);
        level = Some(filled / slots);
    }
    level
}
