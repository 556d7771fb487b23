//! Which engine a request goes to next.

use dalestand_routing::staged::{EngineChoice, PromptPlan, Stage, StagedEngine};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::progress::Progress;

/// The next call or calls.
pub(crate) enum Plan {
    /// One engine does all.
    Whole(PoolName, EngineChoice),
    /// The prompt is read first; the engine that answers is chosen afterwards.
    Prefill(PoolName, EngineChoice),
}

/// The next step for a request; `None` where no pool of its route has an engine for it.
pub(crate) fn choose(context: &Context, progress: &Progress) -> Option<Plan> {
    let fleet = context.fleet();
    let mut pools = progress.pools.iter();
    pools.find_map(|pool| choose_in(context, progress, pool, fleet.pool(pool)))
}

fn choose_in(
    context: &Context,
    progress: &Progress,
    pool: &PoolName,
    engines: &[StagedEngine],
) -> Option<Plan> {
    let now = context.now();
    let zone = &context.settings.zone;
    let request = progress.staged(pool);
    let router = context.router.borrow();
    let is_prompt_pool = engines.iter().any(|engine| engine.stage != Stage::Opaque);
    if !is_prompt_pool {
        let choice = router.choose_opaque(now, zone, engines, &request)?;
        return Some(Plan::Whole(pool.clone(), choice));
    }
    let may_split = progress.runs == 0 && progress.facts.last_event.is_none();
    if !may_split {
        let choice = router.choose_whole(now, zone, engines, &request)?;
        return Some(Plan::Whole(pool.clone(), choice));
    }
    Some(match router.plan_prompt(now, zone, engines, &request)? {
        PromptPlan::Whole(choice) => Plan::Whole(pool.clone(), choice),
        PromptPlan::Split { prefill, .. } => Plan::Prefill(pool.clone(), prefill),
    })
}
