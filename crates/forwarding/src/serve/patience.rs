//! How long an engine may leave a request without an answer.

use std::time::Duration;

use dalestand_routing::staged::{EngineChoice, StagedEngine, response_timeout};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::serve::progress::Progress;

/// A silent engine is left after this multiple of a stream's objective; under load a first event
/// is late at every engine.
const STREAM_PATIENCE_FACTOR: u32 = 3;

/// Shortest time after which a silent engine is left.
const MIN_PATIENCE: Duration = Duration::from_millis(100);

/// Repeated sends that are kept for requests that failed, when silent engines are left.
const BUDGET_KEPT: f64 = 3.0;

/// How long an engine may leave a request without an answer before another is asked. A request
/// that no other engine may be asked for waits until its time is over: a late answer is worth more
/// than none.
pub(crate) fn run_patience(
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
    let now = context.now();
    if context.budget.borrow_mut().available(now, pool) < BUDGET_KEPT
        || !has_other_engine(context, progress, pool, &choice.engine)
    {
        return left;
    }
    let objective = Duration::from_millis(progress.route.objective_ms);
    let least = if progress.route.kind.is_stream() {
        objective * STREAM_PATIENCE_FACTOR
    } else {
        objective
    };
    left.min(response_timeout(choice.expected_s, least.max(MIN_PATIENCE)))
}

/// Whether another engine could take a request that `current` has: if not, to leave it ends the request.
pub(crate) fn has_other_engine(
    context: &Context,
    progress: &Progress,
    pool: &PoolName,
    current: &StagedEngine,
) -> bool {
    let fleet = context.fleet();
    let router = context.router.borrow();
    router.has_alternative(context.now(), fleet.pool(pool), current, &progress.tried)
}
