//! Time limits after which a second engine is called beside a silent one.

use std::time::Duration;

use dalestand_routing::staged::{EngineChoice, StagedEngine, response_timeout};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::serve::progress::Progress;

/// For streams, the minimum time limit is this multiple of the objective, because under load the
/// first event is late at every engine.
const STREAM_TIMEOUT_FACTOR: u32 = 3;

/// Minimum time limit.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Retries that are reserved for failed requests: with fewer left in the budget, no second engine is called beside a
/// silent one.
const RESERVED_RETRIES: f64 = 3.0;

/// How long to wait for an engine's response head before another engine is called beside it. If no other
/// engine may be called, this is the remaining time of the request: a late answer is better than
/// none.
pub(crate) fn run_timeout(
    context: &Context,
    progress: &Progress,
    pool: &PoolName,
    choice: &EngineChoice,
) -> Duration {
    let left = progress.time_left();
    let is_last = progress.runs + 1 >= progress.route.max_attempts;
    if !progress.route.kind.is_repeatable() || is_last {
        return left;
    }
    if !may_hedge(context, progress, pool, &choice.engine) {
        return left;
    }
    let objective = Duration::from_millis(progress.route.objective_ms);
    let minimum = if progress.route.kind.is_stream() {
        objective * STREAM_TIMEOUT_FACTOR
    } else {
        objective
    };
    left.min(response_timeout(
        choice.expected_s,
        minimum.max(MIN_TIMEOUT),
    ))
}

/// Whether a second engine may be called beside `current`, which is silent: another engine could take the request, the
/// retry budget allows that and has room for further calls that engines may read late.
pub(crate) fn may_hedge(
    context: &Context,
    progress: &Progress,
    pool: &PoolName,
    current: &StagedEngine,
) -> bool {
    let now = context.now();
    let mut budget = context.budget.borrow_mut();
    if budget.available(now, pool) < RESERVED_RETRIES || !budget.may_give_up(now, pool) {
        return false;
    }
    drop(budget);
    let fleet = context.fleet();
    let router = context.router.borrow();
    let engines = progress.engines(&fleet, pool);
    router.has_alternative(now, engines, current, &progress.tried)
}
