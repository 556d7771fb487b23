//! Retries of a request: whether and when another call may be made.
//!
//! When engines refuse because the pool is short of capacity, retries are spread over the
//! objective. Requests of tenants over their share are not retried.

use std::time::Duration;

use dalestand_routing::overload::shares::TenantShare;

use crate::context::Context;
use crate::serve::attempt::is_blocked;
use crate::serve::progress::Progress;

/// Number of pauses between retries that fit into a request's objective.
const PAUSES_PER_OBJECTIVE: u32 = 4;

/// Engines that a request tries without a pause. If two refuse because they are full, most others
/// are full too.
pub(super) const CALLS_BEFORE_PAUSE: usize = 2;

pub(super) async fn pause_before_retry(progress: &Progress) {
    let objective = Duration::from_millis(progress.route.objective_ms);
    actix_rt::time::sleep(objective / PAUSES_PER_OBJECTIVE).await;
}

/// Whether a refused request waits before its next call. Only tenants within their share wait, as
/// capacity becomes free for them.
pub(super) fn should_wait_for_place(context: &Context, progress: &Progress) -> bool {
    if progress.tenant.is_none() || progress.tried.is_empty() {
        return false;
    }
    let share = current_share(context, progress);
    share.is_none_or(|share| share.fraction_within() >= 1.0) && may_retry(context, progress)
}

/// Whether the tenant asks for more than its share. Retries are then left to other tenants, unless
/// an engine may have prefilled the prompt.
fn is_over_share(context: &Context, progress: &Progress) -> bool {
    current_share(context, progress).is_some_and(|share| share.fraction_within() < 1.0)
}

/// The share of the request's tenant, while shares are enforced.
fn current_share(context: &Context, progress: &Progress) -> Option<TenantShare> {
    let tenant = progress.tenant.as_ref()?;
    context.tenant_shares.share(context.now(), tenant)
}

/// Whether the request and the retry budget allow another call. The call itself takes the retry
/// from the budget.
pub(super) fn may_retry(context: &Context, progress: &Progress) -> bool {
    if !progress.may_call_another()
        || progress.time_left().is_zero()
        || progress.trial.is_some()
        || is_blocked(context, progress)
    {
        return false;
    }
    let is_repeat = progress.call_counts.is_repeat();
    if is_repeat
        && progress.runs == 0
        && progress.expected.is_none()
        && is_over_share(context, progress)
    {
        return false;
    }
    let Some(pool) = progress.pools.first().filter(|_| is_repeat) else {
        return true;
    };
    let now = context.now();
    let tenant = progress.tenant_code();
    let mut budget = context.budget.borrow_mut();
    budget.available_to(now, pool, tenant) >= 1.0
}
