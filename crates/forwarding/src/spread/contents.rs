//! What messages carry of this node's state.

use dalestand_dissemination::{EngineCode, EngineLoad, News, PoolDemand, RoleChange};
use dalestand_routing::staged::{EngineKey, EngineWork, LoadSource};
use dalestand_types::MonotonicTime;

use crate::context::Context;

/// Work at language-model engines; that at others is learnt from their answers.
pub(super) fn prompt_loads(
    context: &Context,
    work: impl IntoIterator<Item = (EngineKey, EngineWork)>,
) -> Vec<EngineLoad> {
    let fleet = context.fleet();
    let of_prompts = work
        .into_iter()
        .filter(|(engine, _)| fleet.memory_tokens(*engine) > 0);
    let loads = of_prompts.map(|(engine, work)| EngineLoad {
        engine: EngineCode::of(engine),
        requests: work.requests,
        starting: work.starting,
        unread_tokens: work.unread_tokens,
    });
    let mut loads: Vec<EngineLoad> = loads.collect();
    loads.sort_by_key(|load| load.engine);
    loads
}

/// What happened here and was not sent yet.
pub(super) fn take_news(context: &Context) -> News {
    let changes = std::mem::take(&mut *context.role_changes.borrow_mut());
    let changes = changes.into_iter().map(|(engine, time)| RoleChange {
        engine: engine.0,
        at_most_ms: time.as_millis() as u64,
    });
    News {
        origin: context.spread.node,
        placed: context.placements.borrow_mut().take(),
        role_changes: changes.collect(),
        crashes: context.quarantine.news.borrow_mut().take(),
    }
}

/// Demand at this node and at the sources that `counts` names.
pub(super) fn demand(context: &Context, counts: impl Fn(LoadSource) -> bool) -> Vec<PoolDemand> {
    let now: MonotonicTime = context.now();
    let summed = context.demand.borrow_mut().sum_of(now, counts);
    summed
        .into_iter()
        .map(|(pool, demand)| PoolDemand {
            pool,
            disaggregated_tokens_per_s: demand.disaggregated_tokens_per_s,
            colocated_tokens_per_s: demand.colocated_tokens_per_s,
        })
        .collect()
}
