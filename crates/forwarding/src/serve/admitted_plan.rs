//! Plans a request that may start: within its tenant's share, with a place if its pool is short of
//! capacity, and in time.

use std::rc::Rc;
use std::time::Duration;

use dalestand_routing::overload::ShareStanding;
use dalestand_routing::staged::{TimeBounds, rejection_retry_after};

use crate::context::Context;
use crate::serve::admission::{Admission, reserve_place};
use crate::serve::answer::Failure;
use crate::serve::final_failure::final_failure;
use crate::serve::plan::{Plan, choose};
use crate::serve::progress::Progress;

/// Fraction of its objective that the queue may take for a request beyond its tenant's share. The
/// rest remains for a request within its share that arrives next. Fleet-wide sums are up to three
/// seconds old, queue lengths a tenth of a second.
const OVER_SHARE_QUEUE_FRACTION: f64 = 0.5;

/// Returns the next plan of a request that may start. A request that has not run may wait for a
/// place first; after a wait it is planned again.
pub(super) async fn admitted_plan(
    context: &Rc<Context>,
    progress: &mut Progress,
) -> Result<Plan, Failure> {
    let plan = next_plan(context, progress)?;
    if progress.share.is_none() {
        progress.unprefilled_tokens = plan.unprefilled_tokens();
        if let Some(failure) = refuse_over_share(context, progress) {
            return Err(failure);
        }
    }
    let plan = if progress.runs > 0 || progress.reservation.is_some() {
        plan
    } else {
        match reserve_place(context, progress, &plan.pool).await? {
            Admission::Unrestricted => plan,
            Admission::Reserved(reservation, waited) => {
                progress.reservation = Some(reservation);
                if waited.is_zero() {
                    plan
                } else {
                    next_plan(context, progress)?
                }
            }
        }
    };
    overloaded(progress).map_or(Ok(plan), Err)
}

/// Plans the next call, and estimates its latency including the queue of this node's own link.
fn next_plan(context: &Context, progress: &mut Progress) -> Result<Plan, Failure> {
    let plan = choose(context, progress).ok_or_else(|| final_failure(context, progress))?;
    let link_s = context.uplink.borrow().wait(context.now()).as_secs_f64();
    progress.expected = plan
        .expected
        .map(|expected| expected.with_added_queue(link_s));
    Ok(plan)
}

/// Counts a request for its tenant, and refuses it if it is beyond the tenant's share, unless the
/// queue is short.
fn refuse_over_share(context: &Context, progress: &mut Progress) -> Option<Failure> {
    let tenant = progress.tenant.as_ref()?;
    let shares = &context.tenant_shares;
    let status = shares.count_request(
        context.now(),
        tenant,
        progress.unprefilled_tokens,
        &context.sums,
    );
    progress.share = Some(status);
    let is_over = status.standing == ShareStanding::Over && !has_short_queue(progress);
    let share = status.share.filter(|_| is_over && progress.runs == 0)?;
    let wait = share.retry_after(progress.time_left(), rand::random());
    Some(Failure::OverShare(wait))
}

/// Whether the queue of the chosen engine is known and so short that the request takes no
/// capacity from other tenants.
fn has_short_queue(progress: &Progress) -> bool {
    let objective = Duration::from_millis(progress.route.objective_ms);
    let queue_s = progress.expected.map(|expected| expected.queue_s);
    queue_s.is_some_and(|queue_s| queue_s < objective.as_secs_f64() * OVER_SHARE_QUEUE_FRACTION)
}

/// Refuses a request that has not run and cannot be answered in time.
fn overloaded(progress: &Progress) -> Option<Failure> {
    if progress.runs > 0 {
        return None;
    }
    let bounds = TimeBounds {
        left: progress.time_left(),
        objective: Duration::from_millis(progress.route.objective_ms),
    };
    rejection_retry_after(progress.expected?, bounds).map(Failure::Overloaded)
}
