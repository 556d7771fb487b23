//! Serves one request: makes calls to engines until one answers or no further one may be made.

use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::timeout_at;
use dalestand_edge::routed::EngineRequestOptions;
use dalestand_engine_link::ResponseHead;
use dalestand_http_server::{Answer, ConnectionType, Request};
use dalestand_routing::CallPurpose;
use dalestand_routing::staged::{AttemptResult, EngineChoice};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::dissemination::own_figures::on_shortage;
use crate::quarantine::evidence::is_stopped;
use crate::quarantine::trial::{may_try, retry_after};
use crate::serve::account::{log_failed, log_served, log_unadmitted};
use crate::serve::admit::admit;
use crate::serve::admitted_plan::admitted_plan;
use crate::serve::answer::{Failure, streamed};
use crate::serve::attempt::{AttemptEnd, Call, EngineAnswer, attempt, is_refused};
use crate::serve::deliver::{Served, deliver};
use crate::serve::final_failure::final_failure;
use crate::serve::held_bytes::in_pieces;
use crate::serve::patience::run_patience;
use crate::serve::plan::{Step, choose_again};
use crate::serve::prefill::{HeldPrompt, PrefillEnd, prefill};
use crate::serve::progress::Progress;
use crate::serve::relay::Relay;
use crate::serve::repeated_calls::{
    CALLS_AT_ONCE, may_call_again, pause_for_place, waits_for_place,
};

/// Refusals from which memory is taken to be gone rather than the engines to be full: both are told
/// alike, and two engines that were chosen as the least busy are rarely full at once.
const REFUSALS_OF_MEMORY: u32 = 2;

/// Serves a request.
pub(crate) async fn forward(context: Rc<Context>, mut request: Request) -> Answer {
    let in_flight = context.in_flight.enter();
    let mut progress = match admit(&context, &mut request).await {
        Ok(progress) => progress,
        Err(failure) => {
            log_unadmitted(&context, &request, failure);
            context
                .metrics
                .request(None, failure.status(), Duration::ZERO);
            return closing(&context, failure.answer());
        }
    };
    let due = progress.due;
    let served = timeout_at(due, serve(&context, &mut progress)).await;
    let served = served.unwrap_or_else(|_| {
        Err(if progress.runs == 0 {
            Failure::TimeOverNotRun
        } else {
            Failure::TimeOver
        })
    });
    let status = match &served {
        Ok(Served::Whole(head, ..)) => head.status,
        Ok(Served::Stream(_, answer)) => answer.head.status,
        Err(failure) => failure.status(),
    };
    count_outcome(&context, &progress, served.as_ref().err().copied());
    let took = progress.started.elapsed();
    let kind = Some(progress.route.kind);
    context.metrics.request(kind, status, took);
    let answer = match served {
        Ok(Served::Whole(head, body, room)) => {
            log_served(&context, &progress, head.status.as_u16());
            let length = body.len() as u64;
            streamed(&head, Some(length), in_pieces(body, room))
        }
        Ok(Served::Stream(pool, engine_answer)) => {
            log_served(&context, &progress, engine_answer.head.status.as_u16());
            let head = &engine_answer.head;
            let resumable = progress.route.kind.is_stream() && progress.route.kind.is_repeatable();
            let length = engine_answer.body.length().filter(|_| !resumable);
            let mut passed_head = ResponseHead::new(head.status);
            passed_head.headers = head.headers.clone();
            let relay = Relay::new(
                Rc::clone(&context),
                progress,
                pool,
                *engine_answer,
                in_flight,
            );
            streamed(&passed_head, length, relay.into_stream())
        }
        Err(failure) => {
            log_failed(&context, &progress, failure);
            failure.answer()
        }
    };
    closing(&context, answer)
}

/// Counts whether an engine began the request or it was refused.
fn count_outcome(context: &Context, progress: &Progress, failure: Option<Failure>) {
    let now = context.now();
    context
        .classes
        .note(&progress.class, |meter| match failure {
            None => meter.begun.count(now, 1.0),
            Some(failure) if failure.retry_after().is_some() => {
                meter.refused.count(now, 1.0);
                if matches!(failure, Failure::OverShare(_)) {
                    meter.over_share.count(now, 1.0);
                }
            }
            Some(_) => {}
        });
    match (&progress.tenant, failure) {
        (Some(tenant), None) => {
            let shares = &context.tenant_shares;
            shares.begun(now, tenant, progress.unread_tokens);
        }
        (Some(((pool, _), _)), Some(Failure::OverShare(_))) => context.metrics.over_share(pool),
        (Some(_), Some(failure)) if failure.retry_after().is_some() => on_shortage(context, now),
        (Some(_) | None, _) => {}
    }
}

/// During a planned stop each answer tells the caller to connect anew.
fn closing(context: &Context, mut answer: Answer) -> Answer {
    if context.is_stopping() {
        answer.head_mut().set_connection_type(ConnectionType::Close);
    }
    answer
}

async fn serve(context: &Rc<Context>, progress: &mut Progress) -> Result<Served, Failure> {
    if let Some(failure) = ends_engines(context, progress).await {
        return Err(failure);
    }
    let mut fallback = None;
    loop {
        match serve_once(context, progress).await {
            Ok(Some(Served::Whole(head, body, room)))
                if head.status.is_server_error() && may_call_again(context, progress) =>
            {
                fallback = Some(Served::Whole(head, body, room));
            }
            Ok(Some(served)) => return Ok(served),
            Ok(None) if may_call_again(context, progress) => {
                let is_refused = progress.calls.len() >= CALLS_AT_ONCE;
                if is_refused && progress.expected.is_none() && waits_for_place(context, progress) {
                    pause_for_place(progress).await;
                }
            }
            Ok(None) => return fallback.ok_or(final_failure(context, progress)),
            Err(Failure::NoEngine) if waits_for_place(context, progress) => {
                pause_for_place(progress).await;
                progress.tried.clear();
            }
            Err(failure) => return fallback.ok_or(failure),
        }
    }
}

/// The answer to a request that ends the engines that run it. One of them may run once now and then.
async fn ends_engines(context: &Context, progress: &mut Progress) -> Option<Failure> {
    let fingerprint = progress.fingerprint?;
    if !is_stopped(context, Some(fingerprint)) {
        return None;
    }
    progress.is_trial = may_try(context, fingerprint).await;
    let failure = Failure::EndsEngines(retry_after(context, fingerprint));
    (!progress.is_trial).then_some(failure)
}

/// One plan and its calls; `None` if it gave no answer.
async fn serve_once(
    context: &Rc<Context>,
    progress: &mut Progress,
) -> Result<Option<Served>, Failure> {
    if let Some(fingerprint) = progress
        .fingerprint
        .filter(|_| is_refused(context, progress))
    {
        // It was stopped while it was under way here.
        return Err(if progress.runs == 0 {
            Failure::EndsEngines(retry_after(context, fingerprint))
        } else {
            final_failure(context, progress)
        });
    }
    let plan = admitted_plan(context, progress).await?;
    let pool = plan.pool;
    match plan.step {
        Step::Whole(choice) => {
            let ended = run(context, progress, &pool, choice, None).await;
            Ok(deliver(context, progress, pool, ended).await)
        }
        Step::Prefill(choice) => match prefill(context, progress, &pool, choice).await {
            PrefillEnd::Held(held) => decode(context, progress, pool, *held).await,
            PrefillEnd::Failed => Ok(None),
        },
    }
}

/// Goes on from held memory. What was read is the dearest thing in the fleet: an engine that refuses
/// is most often full, and another one goes on from the same memory.
async fn decode(
    context: &Rc<Context>,
    progress: &mut Progress,
    pool: PoolName,
    held: HeldPrompt,
) -> Result<Option<Served>, Failure> {
    let mut refusals = 0;
    let ended = loop {
        let Some(choice) = choose_decode(context, progress, &pool, &held) else {
            break None;
        };
        let ended = run(context, progress, &pool, choice, Some(&held)).await;
        if !matches!(ended, AttemptEnd::Refused | AttemptEnd::NotSent) {
            break Some(ended);
        }
        refusals += u32::from(matches!(ended, AttemptEnd::Refused));
        if refusals >= REFUSALS_OF_MEMORY || !may_call_again(context, progress) {
            break Some(ended);
        }
    };
    if refusals >= REFUSALS_OF_MEMORY {
        let now = context.now();
        let mut router = context.router.borrow_mut();
        let holder = held.engine.key;
        router.health.record(now, holder, AttemptResult::Refused);
    }
    match ended {
        // Nothing is left to go on with the memory.
        None if refusals == 0 => Err(final_failure(context, progress)),
        None => Ok(None),
        Some(AttemptEnd::Answered(answer)) => {
            note_start(context, &answer);
            held.taken();
            Ok(deliver(context, progress, pool, AttemptEnd::Answered(answer)).await)
        }
        Some(ended) => {
            if matches!(ended, AttemptEnd::Unknown) {
                held.taken();
            }
            Ok(deliver(context, progress, pool, ended).await)
        }
    }
}

/// The engine that is to go on from held memory.
fn choose_decode(
    context: &Context,
    progress: &Progress,
    pool: &PoolName,
    held: &HeldPrompt,
) -> Option<EngineChoice> {
    let fleet = context.fleet();
    let request = progress.staged(&context.settings, pool);
    let router = context.router.borrow();
    router.choose_decode(context.now(), fleet.pool(pool), &request, &held.engine)
}

/// Learns from an answer how long engines take to begin one.
fn note_start(context: &Context, answer: &EngineAnswer) {
    let mut router = context.router.borrow_mut();
    let starts = &mut router.decode_start_times;
    let moving_s = answer.choice.expected_s - starts.expected_s(answer.before);
    let took_s = answer.sent_at.elapsed().as_secs_f64();
    starts.observe(answer.before, took_s - moving_s);
}

/// Has an engine run the request.
async fn run(
    context: &Rc<Context>,
    progress: &mut Progress,
    pool: &PoolName,
    choice: EngineChoice,
    held: Option<&HeldPrompt>,
) -> AttemptEnd {
    let last_event = progress.facts.last_event;
    let patience = run_patience(context, progress, pool, &choice);
    let call = Call {
        purpose: CallPurpose::Run,
        pool,
        choice,
        terms: EngineRequestOptions {
            kv_cache: held.map(|held| (held.address(), &*held.kv_cache.name)),
            last_event,
            ..EngineRequestOptions::default()
        },
        patience,
    };
    attempt(context, progress, call).await
}

/// Takes a stream up at another engine; `None` if that may not be or no engine answers.
pub(crate) async fn resume(
    context: &Rc<Context>,
    progress: &mut Progress,
    pool: &PoolName,
) -> Option<EngineAnswer> {
    while may_call_again(context, progress) {
        let choice = choose_again(context, progress, pool)?;
        if let AttemptEnd::Answered(answer) = run(context, progress, pool, choice, None).await
            && answer.head.status.is_success()
        {
            return Some(*answer);
        }
    }
    None
}
