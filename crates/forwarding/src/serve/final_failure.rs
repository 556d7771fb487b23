//! The failure reported to a caller when no engine answers.

use std::time::Duration;

use dalestand_routing::staged::StagedEngine;

use crate::context::Context;
use crate::serve::answer::Failure;
use crate::serve::progress::Progress;

/// The failure to report when no further call may be made.
pub(super) fn final_failure(context: &Context, progress: &Progress) -> Failure {
    match (progress.runs, progress.time_left().is_zero()) {
        (0, true) => Failure::TimeOverNotRun,
        (0, false) => {
            time_until_open(context, progress).map_or(Failure::NoEngine, Failure::EnginesBackOff)
        }
        (_, true) => Failure::TimeOver,
        (_, false) => Failure::Unknown,
    }
}

/// Time until an engine may take the request, if all are closed by their own signals. `None` if any
/// engine is open.
fn time_until_open(context: &Context, progress: &Progress) -> Option<Duration> {
    let fleet = context.fleet();
    let now = context.now();
    let router = context.router.borrow();
    let is_of = |engine| {
        let mut pools = progress.pools.iter();
        pools.any(|pool| progress.engines(&fleet, pool).get(engine).is_some())
    };
    let wants_calls = |engine: &StagedEngine| router.signals.closed(now, engine.key).is_none();
    let mut pools = progress.pools.iter();
    if pools.any(|pool| progress.engines(&fleet, pool).iter().any(wants_calls)) {
        return None;
    }
    router.signals.time_until_open(now, is_of)
}
