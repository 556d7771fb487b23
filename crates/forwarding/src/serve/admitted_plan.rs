//! The plan of a request that may be begun: within its tenant's share, with a place where its pool is short, and in time.

use std::rc::Rc;
use std::time::Duration;

use dalestand_routing::overload::ShareStanding;
use dalestand_routing::staged::{TimeBounds, rejection_retry_after};

use crate::context::Context;
use crate::serve::admission::{Admission, get_place};
use crate::serve::answer::Failure;
use crate::serve::final_failure::final_failure;
use crate::serve::plan::{Plan, choose};
use crate::serve::progress::Progress;

/// Part of its objective that queues may take of a request beyond its tenant's share: one within a share that comes
/// next still has the rest. Sums of all nodes are up to three seconds old, queues a tenth of one.
const QUEUE_OVER_SHARE: f64 = 0.5;

/// The next plan of a request that may be begun. One that has not run waits for a place where the pool is short, and
/// its plan is then made anew.
pub(super) async fn admitted_plan(
    context: &Rc<Context>,
    progress: &mut Progress,
) -> Result<Plan, Failure> {
    let plan = next_plan(context, progress)?;
    if progress.share.is_none() {
        progress.unread_tokens = plan.unread_tokens();
        if let Some(failure) = over_share(context, progress) {
            return Err(failure);
        }
    }
    let plan = if progress.runs > 0 || progress.place.is_some() {
        plan
    } else {
        match get_place(context, progress, &plan.pool).await? {
            Admission::Ungated => plan,
            Admission::Placed(place, waited) => {
                progress.place = Some(place);
                if waited.is_zero() {
                    plan
                } else {
                    next_plan(context, progress)?
                }
            }
        }
    };
    refused(progress).map_or(Ok(plan), Err)
}

/// The next plan, with what is expected of it.
fn next_plan(context: &Context, progress: &mut Progress) -> Result<Plan, Failure> {
    let plan = choose(context, progress).ok_or_else(|| final_failure(context, progress))?;
    let link_s = context.uplink.borrow().wait(context.now()).as_secs_f64();
    progress.expected = plan
        .expected
        .map(|expected| expected.with_added_queue(link_s));
    Ok(plan)
}

/// Counts a request for its tenant; the answer to one that lies beyond the tenant's share.
fn over_share(context: &Context, progress: &mut Progress) -> Option<Failure> {
    let tenant = progress.tenant.as_ref()?;
    let shares = &context.tenant_shares;
    let account = shares.asked(context.now(), tenant, progress.unread_tokens, &context.sums);
    progress.share = Some(account);
    let is_over = account.standing == ShareStanding::Over && !finds_room(progress);
    let share = account.share.filter(|_| is_over && progress.runs == 0)?;
    let wait = share.retry_after(progress.time_left(), rand::random());
    Some(Failure::OverShare(wait))
}

/// Whether the engine chosen has so short a queue that the request takes no other's place, where queues are known.
fn finds_room(progress: &Progress) -> bool {
    let objective = Duration::from_millis(progress.route.objective_ms);
    let queue_s = progress.expected.map(|expected| expected.queue_s);
    queue_s.is_some_and(|queue_s| queue_s < objective.as_secs_f64() * QUEUE_OVER_SHARE)
}

/// The answer to a request that has not run and cannot be answered in time.
fn refused(progress: &Progress) -> Option<Failure> {
    if progress.runs > 0 {
        return None;
    }
    let bounds = TimeBounds {
        left: progress.time_left(),
        objective: Duration::from_millis(progress.route.objective_ms),
    };
    rejection_retry_after(progress.expected?, bounds).map(Failure::Overloaded)
}
