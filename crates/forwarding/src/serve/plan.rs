//! Which engine a request goes to next.

use dalestand_clock::BootInstant;
use dalestand_routing::staged::{
    EngineChoice, EnginePool, LatencyEstimate, PromptPlan, Stage, StagedRouter,
};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::roles::demand::PrefillPlace;
use crate::serve::progress::Progress;

/// A prompt that takes longer than this where it is answered is worth reading apart, in seconds.
const WORTH_DISAGGREGATING_S: f64 = 50e-3;

/// The next call or calls.
pub(crate) struct Plan {
    /// Where they are made.
    pub(crate) pool: PoolName,
    /// The first call.
    pub(crate) step: Step,
    /// What is expected until the answer begins, where it was worked out.
    pub(crate) expected: Option<LatencyEstimate>,
}

/// The first call of a plan.
pub(crate) enum Step {
    /// One engine does all.
    Whole(EngineChoice),
    /// The prompt is read first; the engine that answers is chosen afterwards.
    Prefill(EngineChoice),
}

impl Plan {
    /// Prompt tokens that the engine of the first call has to prefill.
    pub(crate) fn unread_tokens(&self) -> u32 {
        let (Step::Whole(choice) | Step::Prefill(choice)) = &self.step;
        choice.unread_tokens
    }
}

/// The next step for a request; `None` where no pool of its route has an engine for it.
pub(crate) fn choose(context: &Context, progress: &Progress) -> Option<Plan> {
    let fleet = context.fleet();
    let mut pools = progress.pools.iter();
    pools.find_map(|pool| choose_in(context, progress, pool, fleet.pool(pool)))
}

/// The engine of `pool` that goes on with a request which has run.
pub(crate) fn choose_again(
    context: &Context,
    progress: &Progress,
    pool: &PoolName,
) -> Option<EngineChoice> {
    let fleet = context.fleet();
    match choose_in(context, progress, pool, fleet.pool(pool))?.step {
        Step::Whole(choice) => Some(choice),
        // A request that has run is not split any more.
        Step::Prefill(_) => None,
    }
}

fn choose_in(
    context: &Context,
    progress: &Progress,
    pool: &PoolName,
    engines: &EnginePool,
) -> Option<Plan> {
    let now = context.now();
    let zone = &context.settings.zone;
    let request = progress.staged(&context.settings, pool);
    let router = context.router.borrow();
    if !engines.serves_prompts() {
        let choice = router.choose_opaque(now, zone, engines, &request)?;
        return Some(Plan {
            pool: pool.clone(),
            step: Step::Whole(choice),
            expected: None,
        });
    }
    let may_split = progress.runs == 0 && progress.facts.last_event.is_none();
    let began = BootInstant::now();
    let plan = if may_split {
        router.plan_prompt(now, zone, engines, &request)?
    } else {
        PromptPlan::Colocated(router.choose_colocated(now, zone, engines, &request)?)
    };
    let load_age = router.work.mean_report_age(now, |_| true);
    context.metrics.chosen(began.elapsed(), load_age);
    let expected = Some(plan.latency_estimate());
    let step = match plan {
        PromptPlan::Colocated(choice) => Step::Whole(choice),
        PromptPlan::Disaggregated { prefill, .. } => Step::Prefill(prefill),
    };
    if progress.calls.is_empty() {
        note_demand(context, &router, pool, &step);
    }
    Some(Plan {
        pool: pool.clone(),
        step,
        expected,
    })
}

/// Notes where the prompt is best read, whatever queues there are now.
fn note_demand(context: &Context, router: &StagedRouter, pool: &PoolName, step: &Step) {
    let (Step::Whole(choice) | Step::Prefill(choice)) = step;
    let tokens = choice.unread_tokens;
    let key = choice.engine.key;
    let reading_s = |tokens| router.prefill_speeds.expected_s(key, Stage::Decode, tokens);
    let colocated_s = reading_s(f64::from(tokens)) - reading_s(0.0);
    let place = if colocated_s > WORTH_DISAGGREGATING_S {
        PrefillPlace::Disaggregated
    } else {
        PrefillPlace::Colocated
    };
    let now = context.now();
    context.demand.borrow_mut().record(now, pool, place, tokens);
}
