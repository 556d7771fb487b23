//! Serves one request: calls engines until one answers or no further call is allowed.

use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::{TimedOut, timeout_at};
use dalestand_edge::routed::EngineRequestOptions;
use dalestand_engine_link::ResponseHead;
use dalestand_http_server::{Answer, ConnectionType, Request};
use dalestand_routing::CallPurpose;
use dalestand_routing::staged::{AttemptResult, EngineChoice};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::dissemination::own_figures::on_shortage;
use crate::quarantine::evidence::is_stopped;
use crate::quarantine::parts::evidence::held_part;
use crate::quarantine::trial::{acquire_part_trial, acquire_trial, part_retry_after, retry_after};
use crate::serve::accept::{accept, check_expectation};
use crate::serve::admitted_plan::admitted_plan;
use crate::serve::answer::{Failure, streaming_answer};
use crate::serve::answer_stream::AnswerStream;
use crate::serve::attempt::{
    AttemptOutcome, Call, EngineAnswer, attempt, await_open_calls, is_blocked, record_unanswered,
};
use crate::serve::deliver::{Served, deliver};
use crate::serve::final_failure::final_failure;
use crate::serve::held_bytes::in_chunks;
use crate::serve::plan::{Step, choose_for_resume};
use crate::serve::prefill::{PrefillOutcome, PrefilledPrompt, prefill};
use crate::serve::progress::{Progress, TrialKind};
use crate::serve::request_log::{log_failed, log_rejected, log_served};
use crate::serve::response_timeout::run_timeout;
use crate::serve::retries::{
    CALLS_BEFORE_PAUSE, may_retry, pause_before_retry, should_wait_for_place,
};
use crate::streams::begin::await_stored_versions;
use crate::streams::resume::bind_resumed;

/// Number of refusals after which the prefilled KV cache is assumed to be gone. An engine refuses
/// alike when it is full and when it cannot fetch the cache, but two engines chosen as least busy
/// are rarely both full.
const REFUSALS_UNTIL_CACHE_LOST: u32 = 2;

/// Serves a request.
pub(crate) async fn forward(context: Rc<Context>, mut request: Request) -> Answer {
    let in_flight = context.in_flight.enter();
    let shutdown = &context.shutdown;
    let accepted = shutdown.limit(accept(&context, &mut request)).await;
    let mut progress = match accepted.unwrap_or(Err(Failure::ShuttingDown)) {
        Ok(progress) => progress,
        Err(failure) => return reject(&context, &request, failure),
    };
    let serving = timeout_at(progress.due, serve(&context, &mut progress));
    let served = match shutdown.limit(serving).await {
        Ok(Ok(served)) => served,
        Ok(Err(TimedOut)) => {
            let failures = (Failure::TimeOverNotRun, Failure::TimeOver);
            end_unanswered(&context, &mut progress, failures)
        }
        Err(TimedOut) => {
            let failures = (Failure::ShuttingDown, Failure::ShutDown);
            end_unanswered(&context, &mut progress, failures)
        }
    };
    let status = match &served {
        Ok(Served::Whole(head, ..)) => head.status,
        Ok(Served::Stream(answer)) => answer.head.status,
        Err(failure) => failure.status(),
    };
    count_outcome(&context, &progress, served.as_ref().err().copied());
    let took = progress.started.elapsed();
    let kind = Some(progress.route.kind);
    context.metrics.request(kind, status, took);
    let answer = match served {
        Ok(Served::Whole(head, body, reservation)) => {
            log_served(&context, &progress, head.status.as_u16());
            let length = body.len() as u64;
            streaming_answer(&head, Some(length), in_chunks(body, reservation))
        }
        Ok(Served::Stream(engine_answer)) => {
            log_served(&context, &progress, engine_answer.head.status.as_u16());
            let head = &engine_answer.head;
            let mut forwarded_head = ResponseHead::new(head.status);
            forwarded_head.headers = head.headers.clone();
            let stream =
                AnswerStream::new(Rc::clone(&context), progress, *engine_answer, in_flight);
            streaming_answer(&forwarded_head, stream.length(), stream.into_stream())
        }
        Err(failure) => {
            log_failed(&context, &progress, failure);
            failure.answer()
        }
    };
    close_if_stopping(&context, answer)
}

/// Ends a request that has no answer in time: the former failure is for one that did not run.
fn end_unanswered(
    context: &Context,
    progress: &mut Progress,
    (not_run, may_have_run): (Failure, Failure),
) -> Result<Served, Failure> {
    record_unanswered(context, progress);
    progress.fallback.take().ok_or(if progress.runs == 0 {
        not_run
    } else {
        may_have_run
    })
}

/// Refuses a request with `Expect: 100-continue` before its body is sent, if that is not wanted.
pub(crate) fn decide_expectation(context: &Context, request: &Request) -> Result<(), Answer> {
    let checked = check_expectation(context, request);
    checked.map_err(|failure| reject(context, request, failure))
}

/// Answers a request that is not accepted.
fn reject(context: &Context, request: &Request, failure: Failure) -> Answer {
    log_rejected(context, request, failure);
    let metrics = &context.metrics;
    metrics.request(None, failure.status(), Duration::ZERO);
    close_if_stopping(context, failure.answer())
}

/// Counts a request as started by an engine or as refused.
fn count_outcome(context: &Context, progress: &Progress, failure: Option<Failure>) {
    let now = context.now();
    context
        .classes
        .update(&progress.class, |meter| match failure {
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
            shares.count_started(now, tenant, progress.unprefilled_tokens);
        }
        (Some(((pool, _), _)), Some(Failure::OverShare(_))) => context.metrics.over_share(pool),
        (Some(_), Some(failure)) if failure.retry_after().is_some() => on_shortage(context, now),
        (Some(_) | None, _) => {}
    }
}

/// Tells the caller to reconnect while the node is shutting down.
fn close_if_stopping(context: &Context, mut answer: Answer) -> Answer {
    if context.is_stopping() {
        answer.head_mut().set_connection_type(ConnectionType::Close);
    }
    answer
}

async fn serve(context: &Rc<Context>, progress: &mut Progress) -> Result<Served, Failure> {
    if !context.shutdown.accepts(progress.due) {
        return Err(Failure::ShuttingDown);
    }
    if let Some(failure) = refuse_if_stopped(context, progress).await {
        return Err(failure);
    }
    bind_resumed(context, progress).await?;
    await_stored_versions(context, progress).await?;
    loop {
        let failure = match call_engines(context, progress).await {
            Ok(served) => return Ok(served),
            Err(failure) => failure,
        };
        // Engines that have fallen silent may go on.
        let is_awaited = !progress.open_calls.is_empty();
        while let Some(answer) = await_open_calls(context, progress).await {
            if let Some(served) = deliver(context, progress, answer).await {
                return Ok(served);
            }
        }
        if is_awaited && progress.fallback.is_none() && may_retry(context, progress) {
            progress.tried.clear();
            continue;
        }
        if let Some(fallback) = progress.fallback.take() {
            return Ok(fallback);
        }
        // A late refusal shows that the request did not run.
        return Err(match failure {
            Failure::Unknown => final_failure(context, progress),
            failure => failure,
        });
    }
}

/// Calls engines until one answers or no further call can be made now.
async fn call_engines(context: &Rc<Context>, progress: &mut Progress) -> Result<Served, Failure> {
    loop {
        match serve_once(context, progress).await {
            Ok(Some(Served::Whole(head, body, reservation))) if head.status.is_server_error() => {
                progress.fallback = Some(Served::Whole(head, body, reservation));
                if !may_retry(context, progress) {
                    return Err(Failure::Unknown);
                }
            }
            Ok(Some(served)) => return Ok(served),
            Ok(None) if may_retry(context, progress) => {
                let was_refused = progress.calls.len() >= CALLS_BEFORE_PAUSE;
                if was_refused
                    && progress.expected.is_none()
                    && should_wait_for_place(context, progress)
                {
                    pause_before_retry(progress).await;
                }
            }
            Ok(None) => return Err(final_failure(context, progress)),
            Err(Failure::NoEngine) if should_wait_for_place(context, progress) => {
                pause_before_retry(progress).await;
                let open_calls = progress.open_calls.iter();
                progress.tried = open_calls.map(|call| call.id().0).collect();
            }
            // It may have run, so that it can't be refused, and engines that had no room may have some.
            Err(Failure::Unknown)
                if progress.open_calls.is_empty()
                    && progress.fallback.is_none()
                    && may_retry(context, progress) =>
            {
                pause_before_retry(progress).await;
                progress.tried.clear();
            }
            Err(failure) => return Err(failure),
        }
    }
}

/// Refuses a stopped request and one with a held part, unless this node may run it as a trial.
async fn refuse_if_stopped(context: &Context, progress: &mut Progress) -> Option<Failure> {
    let fingerprint = progress.fingerprint?;
    if is_stopped(context, Some(fingerprint)) {
        let may_try = acquire_trial(context, fingerprint).await;
        progress.trial = may_try.then_some(TrialKind::Request);
    } else if held_part(context, &progress.shared_parts).is_some() {
        let may_try = acquire_part_trial(context, progress).await;
        progress.trial = may_try.then_some(TrialKind::Part);
    }
    if progress.trial.is_some() {
        return None;
    }
    let failure = blocked_failure(context, progress);
    if let Some(Failure::HeldPart(_)) = failure {
        context.metrics.held_parts.record_refused();
    }
    failure
}

/// How a request that is stopped or has a held part is refused; `None` if neither is the case.
fn blocked_failure(context: &Context, progress: &Progress) -> Option<Failure> {
    let fingerprint = progress.fingerprint?;
    if is_stopped(context, Some(fingerprint)) {
        return Some(Failure::EndsEngines(retry_after(context, fingerprint)));
    }
    part_retry_after(context, &progress.shared_parts).map(Failure::HeldPart)
}

/// Makes one plan and its calls; `None` if they gave no answer.
async fn serve_once(
    context: &Rc<Context>,
    progress: &mut Progress,
) -> Result<Option<Served>, Failure> {
    if let Some(failure) =
        blocked_failure(context, progress).filter(|_| is_blocked(context, progress))
    {
        // This happened while this node was serving the request.
        if let Failure::HeldPart(_) = failure {
            context.metrics.held_parts.record_interrupted();
        }
        return Err(if progress.runs == 0 {
            failure
        } else {
            final_failure(context, progress)
        });
    }
    let plan = admitted_plan(context, progress).await?;
    let pool = plan.pool;
    match plan.step {
        Step::Whole(choice) => {
            let outcome = run_on_engine(context, progress, &pool, choice, None).await;
            Ok(deliver_outcome(context, progress, outcome).await)
        }
        Step::Prefill(choice) => match prefill(context, progress, &pool, choice).await {
            PrefillOutcome::Held(held) => decode(context, progress, pool, *held).await,
            PrefillOutcome::Failed => Ok(None),
        },
    }
}

/// Continues from a prefilled KV cache. A prefill is expensive, and an engine that refuses is
/// usually just full, so another engine is tried with the same cache.
async fn decode(
    context: &Rc<Context>,
    progress: &mut Progress,
    pool: PoolName,
    held: PrefilledPrompt,
) -> Result<Option<Served>, Failure> {
    let mut refusals = 0;
    let outcome = loop {
        let Some(choice) = choose_decode(context, progress, &pool, &held) else {
            break None;
        };
        let outcome = run_on_engine(context, progress, &pool, choice, Some(&held)).await;
        if !matches!(outcome, AttemptOutcome::Refused | AttemptOutcome::NotSent) {
            break Some(outcome);
        }
        refusals += u32::from(matches!(outcome, AttemptOutcome::Refused));
        if refusals >= REFUSALS_UNTIL_CACHE_LOST || !may_retry(context, progress) {
            break Some(outcome);
        }
    };
    if refusals >= REFUSALS_UNTIL_CACHE_LOST {
        let now = context.now();
        let mut router = context.router.borrow_mut();
        let holder = held.engine.key;
        router.health.record(now, holder, AttemptResult::Refused);
    }
    match outcome {
        // No engine is left that can use the KV cache.
        None if refusals == 0 => Err(final_failure(context, progress)),
        None => Ok(None),
        Some(AttemptOutcome::Answered(answer)) => {
            record_decode_start(context, &answer);
            held.mark_fetched();
            Ok(deliver(context, progress, answer).await)
        }
        Some(outcome) => {
            if matches!(outcome, AttemptOutcome::Unknown) {
                held.mark_fetched();
            }
            Ok(deliver_outcome(context, progress, outcome).await)
        }
    }
}

/// Turns the outcome of a call into an answer for the caller; `None` if there is none.
async fn deliver_outcome(
    context: &Rc<Context>,
    progress: &mut Progress,
    outcome: AttemptOutcome,
) -> Option<Served> {
    match outcome {
        AttemptOutcome::Answered(answer) => deliver(context, progress, answer).await,
        AttemptOutcome::Refused | AttemptOutcome::NotSent | AttemptOutcome::Unknown => None,
    }
}

/// Chooses the engine that continues from the KV cache.
fn choose_decode(
    context: &Context,
    progress: &Progress,
    pool: &PoolName,
    held: &PrefilledPrompt,
) -> Option<EngineChoice> {
    let fleet = context.fleet();
    let request = progress.routing_request(&context.settings, pool);
    let router = context.router.borrow();
    let engines = progress.engines(&fleet, pool);
    router.choose_decode(context.now(), engines, &request, &held.engine)
}

/// Updates the estimate of how long engines take to start an answer.
fn record_decode_start(context: &Context, answer: &EngineAnswer) {
    let mut router = context.router.borrow_mut();
    let starts = &mut router.decode_start_times;
    let transfer_s = answer.choice.expected_s - starts.expected_s(answer.not_started_before);
    let took_s = answer.sent_at.elapsed().as_secs_f64();
    starts.observe(answer.not_started_before, took_s - transfer_s);
}

/// Runs the request at an engine.
async fn run_on_engine(
    context: &Rc<Context>,
    progress: &mut Progress,
    pool: &PoolName,
    choice: EngineChoice,
    held: Option<&PrefilledPrompt>,
) -> AttemptOutcome {
    let last_event = progress.facts.last_event;
    let timeout = run_timeout(context, progress, pool, &choice);
    let call = Call {
        purpose: CallPurpose::Run,
        pool,
        choice,
        terms: EngineRequestOptions {
            kv_cache: held.map(|held| (held.address(), &*held.kv_cache.name)),
            last_event,
            ..EngineRequestOptions::default()
        },
        timeout,
    };
    attempt(context, progress, call).await
}

/// Resumes a stream at another engine; `None` if that is not allowed or no engine accepts it.
pub(crate) async fn resume(
    context: &Rc<Context>,
    progress: &mut Progress,
    pool: &PoolName,
) -> Option<EngineAnswer> {
    while may_retry(context, progress) {
        let Some(choice) = choose_for_resume(context, progress, pool) else {
            break;
        };
        if let AttemptOutcome::Answered(answer) =
            run_on_engine(context, progress, pool, choice, None).await
            && answer.head.status.is_success()
        {
            return Some(*answer);
        }
    }
    while let Some(answer) = await_open_calls(context, progress).await {
        if answer.head.status.is_success() {
            return Some(*answer);
        }
    }
    None
}
