//! Splits a route's requests among its pools by weight.

use std::collections::HashMap;

use dalestand_types::PoolName;

use crate::file::RouteConfig;

/// Smooth weighted round robin, with separate state per route. At any time the requests of each pool
/// deviate from its weight by less than one request, so the traffic of many nodes follows the weights
/// without coordination.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    /// Current score of each pool, by route.
    scores: HashMap<String, HashMap<PoolName, i64>>,
}

impl WeightedRoundRobin {
    /// The pools of a route with a weight above 0, the selected one first, the others as fallbacks in
    /// order of score.
    pub fn pick(&mut self, route: &RouteConfig) -> Vec<PoolName> {
        if let [only] = route.pools.as_slice() {
            return vec![only.pool.clone()];
        }
        let scores = self.scores.entry(route.name.clone()).or_default();
        scores.retain(|pool, _| route.pools.iter().any(|part| part.pool == *pool));
        let mut total = 0;
        for part in route.pools.iter().filter(|part| part.weight > 0) {
            let score = scores.entry(part.pool.clone()).or_default();
            *score += i64::from(part.weight);
            total += i64::from(part.weight);
        }
        let mut pools: Vec<&PoolName> = route
            .pools
            .iter()
            .filter(|part| part.weight > 0)
            .map(|part| &part.pool)
            .collect();
        pools.sort_by_key(|pool| std::cmp::Reverse(scores.get(pool).copied().unwrap_or_default()));
        if let Some(score) = pools.first().and_then(|first| scores.get_mut(*first)) {
            *score -= total;
        }
        pools.into_iter().cloned().collect()
    }

    /// Drops the state of routes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.scores.retain(|name, _| keep(name));
    }
}
