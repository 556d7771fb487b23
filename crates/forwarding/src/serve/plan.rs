//! Chooses the engine for the next call of a request.

use dalestand_clock::BootInstant;
use dalestand_routing::staged::{
    EngineChoice, EnginePool, LatencyEstimate, PromptPlan, Stage, StagedRouter,
};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::roles::demand::PrefillPlace;
use crate::serve::progress::Progress;

/// Time, in seconds, that a prefill has to take on a decode engine for a separate prefill engine to
/// be preferred.
const DISAGGREGATION_THRESHOLD_S: f64 = 50e-3;

/// The next call, or the first of two.
pub(crate) struct Plan {
    /// The pool of the engine.
    pub(crate) pool: PoolName,
    /// The first call.
    pub(crate) step: Step,
    /// Estimated latency, where engines serve prompts.
    pub(crate) expected: Option<LatencyEstimate>,
}

/// The first call of a plan.
pub(crate) enum Step {
    /// One engine prefills and answers.
    Whole(EngineChoice),
    /// This engine prefills the prompt; the engine that answers is chosen afterwards.
    Prefill(EngineChoice),
}

impl Plan {
    /// Prompt tokens that the engine of the first call has to prefill.
    pub(crate) fn unprefilled_tokens(&self) -> u32 {
        let (Step::Whole(choice) | Step::Prefill(choice)) = &self.step;
        choice.unprefilled_tokens
    }
}

/// Plans the next call of a request; `None` if no pool of its route has an engine for it.
pub(crate) fn choose(context: &Context, progress: &Progress) -> Option<Plan> {
    let fleet = context.fleet();
    let mut pools = progress.pools.iter();
    pools.find_map(|pool| choose_in(context, progress, pool, progress.engines(&fleet, pool)))
}

/// Chooses an engine of `pool` to resume a request that has run.
pub(crate) fn choose_for_resume(
    context: &Context,
    progress: &Progress,
    pool: &PoolName,
) -> Option<EngineChoice> {
    let fleet = context.fleet();
    match choose_in(context, progress, pool, progress.engines(&fleet, pool))?.step {
        Step::Whole(choice) => Some(choice),
        // A request that has run is not split into prefill and decode.
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
    let request = progress.routing_request(&context.settings, pool);
    let router = context.router.borrow();
    if !engines.serves_prompts() {
        let choice = router.choose_opaque(now, zone, engines, &request)?;
        return Some(Plan {
            pool: pool.clone(),
            step: Step::Whole(choice),
            expected: None,
        });
    }
    // A prefill at another engine would be one more request with the held part.
    let may_split =
        progress.runs == 0 && progress.facts.last_event.is_none() && !progress.is_part_trial();
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
        record_demand(context, &router, pool, &step);
    }
    Some(Plan {
        pool: pool.clone(),
        step,
        expected,
    })
}

/// Counts the prompt tokens as demand for separate or colocated prefill. Queues are ignored, so
/// this reflects the demand and not the current load.
fn record_demand(context: &Context, router: &StagedRouter, pool: &PoolName, step: &Step) {
    let (Step::Whole(choice) | Step::Prefill(choice)) = step;
    let tokens = choice.unprefilled_tokens;
    let key = choice.engine.key;
    let prefill_s = |tokens| router.prefill_speeds.expected_s(key, Stage::Decode, tokens);
    let colocated_s = prefill_s(f64::from(tokens)) - prefill_s(0.0);
    let place = if colocated_s > DISAGGREGATION_THRESHOLD_S {
        PrefillPlace::Disaggregated
    } else {
        PrefillPlace::Colocated
    };
    let now = context.now();
    context.demand.borrow_mut().record(now, pool, place, tokens);
}
