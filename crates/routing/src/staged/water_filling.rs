//! Random choice of an engine by water-filling, so that nodes with the same stale load reports spread their requests.
//!
//! If every node chose the engine with the lowest cost, all requests between two reports would go to the same engine.
//! Instead, each node distributes the requests that other nodes are expected to have sent since the last report, plus
//! its own, over the engines so that the costs of the filled engines become equal, and draws an engine with probability
//! proportional to its share. With fresh reports only its own request is distributed, so that only engines that differ
//! by less than one request share it.

use super::StagedEngine;
use super::cost::EngineCost;

/// Lower bound on the marginal cost of a request, in seconds. Keeps shares finite: equal engines share requests.
const MIN_MARGINAL_S: f64 = 1e-4;

/// An engine with its cost.
pub(super) type EngineWithCost<'e> = (&'e StagedEngine, EngineCost);

/// Draws one of `engines`, to which other nodes are expected to have sent `unreported` requests in total. `quantile`,
/// uniform in `[0, 1)`, determines which.
pub(super) fn draw_water_filled<'e>(
    mut engines: Vec<EngineWithCost<'e>>,
    unreported: f64,
    quantile: f64,
) -> Option<EngineWithCost<'e>> {
    engines.sort_by(|(_, one), (_, other)| one.cost_s.total_cmp(&other.cost_s));
    let requests = unreported.max(0.0) + 1.0;
    let level = level(&engines, requests)?;
    let mut remaining = quantile * requests;
    for (engine, cost) in &engines {
        remaining -= share(cost, level);
        if remaining <= 0.0 {
            return Some((*engine, *cost));
        }
    }
    // Rounding errors may leave a small remainder.
    engines.into_iter().next()
}

/// Number of requests that raise the cost of an engine to `level`.
fn share(cost: &EngineCost, level: f64) -> f64 {
    ((level - cost.cost_s) / marginal_s(cost)).max(0.0)
}

fn marginal_s(cost: &EngineCost) -> f64 {
    cost.marginal_s.max(MIN_MARGINAL_S)
}

/// The common cost of the filled engines after `requests` are distributed; engines are sorted by cost.
fn level(engines: &[EngineWithCost<'_>], requests: f64) -> Option<f64> {
    let mut inverse_marginals = 0.0;
    let mut weighted_costs = requests;
    let mut level = None;
    for (_, cost) in engines {
        if level.is_some_and(|level| cost.cost_s >= level) {
            break;
        }
        inverse_marginals += 1.0 / marginal_s(cost);
        weighted_costs += cost.cost_s / marginal_s(cost);
        level = Some(weighted_costs / inverse_marginals);
    }
    level
}
