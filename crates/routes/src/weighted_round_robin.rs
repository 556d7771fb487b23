//! Divides a route's requests among its pools by weight.

use std::collections::HashMap;

use dalestand_types::PoolName;

use crate::file::RouteConfig;

/// Smooth weighted round robin, one state a route: over any run of requests each pool's share is
/// off its weight by less than one request, so that the shares of many nodes add up to the weights
/// without a word between them.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    routes: HashMap<String, HashMap<PoolName, i64>>,
}

impl WeightedRoundRobin {
    /// The pools of a route, the one whose turn it is first.
    pub fn pick(&mut self, route: &RouteConfig) -> Vec<PoolName> {
        if let [only] = route.pools.as_slice() {
            return vec![only.pool.clone()];
        }
        let scores = self.routes.entry(route.name.clone()).or_default();
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

    /// Forgets routes that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.routes.retain(|name, _| keep(name));
    }
}
