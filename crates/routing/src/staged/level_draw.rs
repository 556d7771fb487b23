//! Draws the engine of one request so that the sends of all nodes together level the engines' queues.
//!
//! The load it answers: hundreds of requests a second by nodes that each know the others' work as it was some tens of
//! milliseconds ago. All of them would send to the engine that was best then, and in calm each to the one that
//! answered it a little faster the last time. What is expected to have been sent since is taken to have filled the
//! engines from the cheapest up, as water does, and the request is one drop of it (Dahlin 2000, load interpretation).

use super::StagedEngine;
use super::cost::EngineCost;

/// Least number of requests an engine that are taken to be under way unseen: engines that differ by less than a part
/// of one request are alike.
const LEAST_UNSEEN: f64 = 0.5;

/// Draws one of `engines`, with `chance` from 0 to 1, where `unseen` requests an engine may have been sent that no
/// report shows. The cost that it is given is the cheapest engine's: what the draw adds decides nothing else.
pub(super) fn draw(
    mut engines: Vec<(&StagedEngine, EngineCost)>,
    unseen: f64,
    chance: f64,
) -> Option<(&StagedEngine, EngineCost)> {
    engines.sort_by(|(_, one), (_, other)| one.cost_s.total_cmp(&other.cost_s));
    let cheapest_s = engines.first()?.1.cost_s;
    let level_s = level(&engines, unseen.max(LEAST_UNSEEN));
    let part = |cost: &EngineCost| ((level_s - cost.cost_s) / each_s(cost)).max(0.0);
    let mut left = chance * engines.iter().map(|(_, cost)| part(cost)).sum::<f64>();
    let drawn = engines.iter().find(|(_, cost)| {
        left -= part(cost);
        left < 0.0
    });
    let (engine, cost) = drawn.or(engines.first())?;
    let cost = EngineCost {
        cost_s: cheapest_s,
        ..*cost
    };
    Some((engine, cost))
}

/// The cost up to which `unseen` requests an engine, and this one, fill `engines`, which stand in order of their
/// costs.
fn level(engines: &[(&StagedEngine, EngineCost)], unseen: f64) -> f64 {
    let requests = unseen * engines.len() as f64 + 1.0;
    let (mut speed, mut filled) = (0.0, 0.0);
    let mut level_s = f64::INFINITY;
    for (_, cost) in engines {
        if cost.cost_s >= level_s {
            break;
        }
        speed += 1.0 / each_s(cost);
        filled += cost.cost_s / each_s(cost);
        level_s = (requests + filled) / speed;
    }
    level_s
}

/// Shortest time that one more request is taken to add, in seconds.
const LEAST_EACH_S: f64 = 1e-4;

fn each_s(cost: &EngineCost) -> f64 {
    cost.each_s.max(LEAST_EACH_S)
}
