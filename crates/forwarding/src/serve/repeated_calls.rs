//! Further calls of a request: whether one may be made, and when. Where engines refuse while the pool is short they are
//! spread over the objective, and a tenant that is over its share leaves them to the others.

use std::time::Duration;

use dalestand_routing::overload::shares::TenantShare;

use crate::context::Context;
use crate::serve::attempt::is_refused;
use crate::serve::progress::Progress;

/// Pauses of a request that engines refuse, in one objective: the calls that it may make are spread over it.
const PAUSES_FOR_PLACE: u32 = 4;

/// Engines that a request asks one after the other before it pauses: if both are full, so are most.
pub(super) const CALLS_AT_ONCE: usize = 2;

pub(super) async fn pause_for_place(progress: &Progress) {
    let objective = Duration::from_millis(progress.route.objective_ms);
    actix_rt::time::sleep(objective / PAUSES_FOR_PLACE).await;
}

/// Whether a request that engines refused waits before it tries the next: places come free for tenants within their
/// share.
pub(super) fn waits_for_place(context: &Context, progress: &Progress) -> bool {
    if progress.tenant.is_none() || progress.tried.is_empty() {
        return false;
    }
    let share = share_now(context, progress);
    share.is_none_or(|share| share.fraction_within() >= 1.0) && may_call_again(context, progress)
}

/// Whether its tenant asks for more than its share: what it may repeat is left to the others, unless an engine may
/// have prefilled its prompt.
fn is_cut(context: &Context, progress: &Progress) -> bool {
    share_now(context, progress).is_some_and(|share| share.fraction_within() < 1.0)
}

/// The share of its tenant, where shares decide anything.
fn share_now(context: &Context, progress: &Progress) -> Option<TenantShare> {
    let tenant = progress.tenant.as_ref()?;
    context.tenant_shares.share(context.now(), tenant)
}

/// Whether another engine may be asked, as far as the request and the budget allow. The call itself
/// takes its send from the budget.
pub(super) fn may_call_again(context: &Context, progress: &Progress) -> bool {
    if !progress.may_run_again()
        || progress.time_left().is_zero()
        || progress.is_trial
        || is_refused(context, progress)
    {
        return false;
    }
    let is_repeat = progress.call_counts.is_repeat();
    if is_repeat && progress.runs == 0 && progress.expected.is_none() && is_cut(context, progress) {
        return false;
    }
    let Some(pool) = progress.pools.first().filter(|_| is_repeat) else {
        return true;
    };
    let now = context.now();
    context.budget.borrow_mut().available(now, pool) >= 1.0
}
