//! Makes one call to one engine and classifies the result.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::CONTENT_ENCODING;
use dalestand_clock::{BootInstant, timeout};
use dalestand_edge::routed::EngineRequestOptions;
use dalestand_engine_link::{
    AllowedPaths, Exchange, LinkTarget, ResponseBody, ResponseHead, SendError,
};
use dalestand_quarantine::STOP_AFTER_CRASHES;
use dalestand_routing::staged::{AttemptResult, ClosedReason, EngineChoice, EngineKey};
use dalestand_routing::{CallOutcome, CallPurpose, RepeatedSend, RetryBalance};
use dalestand_types::{PoolName, RequestRate, SoftwareVersion};

use crate::context::Context;
use crate::node::metrics::RetryOutcome;
use crate::permits::send_permission::SendPermission;
use crate::quarantine::engine_end::{
    EndProof, await_listener_checks, check_listener, record_engine_end,
};
use crate::quarantine::evidence::{crash_count, is_stopped};
use crate::quarantine::parts::evidence::{held_part, part_crash_count};
use crate::quarantine::run_watch::{RunWatch, UnfinishedReason};
use crate::serve::class_counts::BusySlot;
use crate::serve::engine_send::{
    CallContent, CallError, EngineCall, EngineReply, closed_reason, send,
};
use crate::serve::progress::{CallSignals, EntryUsed, Progress, SilentCall};
use crate::serve::work_guard::WorkGuard;

/// The response to a call, after its head was found to belong to the request.
pub(crate) struct EngineAnswer {
    pub(crate) head: ResponseHead,
    pub(crate) body: ResponseBody,
    pub(crate) choice: EngineChoice,
    /// Version of the engine's software when the call was made, if known.
    pub(crate) software: Option<SoftwareVersion>,
    pub(crate) work: WorkGuard,
    pub(crate) watch: RunWatch,
    pub(crate) sent_at: BootInstant,
    /// When the head of the response arrived.
    pub(crate) answered_at: BootInstant,
    /// Where the call was sent.
    pub(crate) target: LinkTarget,
    /// Requests at the engine, of all nodes, that had not started when the call was sent.
    pub(crate) not_started_before: u32,
}

/// Outcome of a call.
pub(crate) enum AttemptOutcome {
    /// The engine answers the request, which may have run.
    Answered(Box<EngineAnswer>),
    /// The engine reported that it did not run the request.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// The request may have run, and there is no valid answer.
    Unknown,
}

/// One call to be made.
pub(crate) struct Call<'a> {
    pub(crate) purpose: CallPurpose,
    pub(crate) pool: &'a PoolName,
    pub(crate) choice: EngineChoice,
    pub(crate) terms: EngineRequestOptions<'a>,
    /// Time limit for the response head.
    pub(crate) timeout: Duration,
}

/// Makes one call. Records the outcome in `progress` and in the engine's health.
pub(crate) async fn attempt(
    context: &Rc<Context>,
    progress: &mut Progress,
    call: Call<'_>,
) -> AttemptOutcome {
    let choice = call.choice.clone();
    let engine = choice.engine.clone();
    let Some(known) = context.fleet().engine(engine.key).cloned() else {
        return AttemptOutcome::NotSent;
    };
    // The engine may have been chosen before the caller got events of another one.
    if !progress.binding.allows(call.pool, known.software.as_ref()) {
        return record_not_sent(progress, &call, "other software");
    }
    check_previous_engine(context, progress, call.pool).await;
    // Checked for each call, as the request may have been stopped since it arrived.
    if is_blocked(context, progress) {
        return record_not_sent(progress, &call, "stopped");
    }
    let content = CallContent::Request(progress.facts.id.clone());
    if let Some(closed) = closed_reason(context, &engine, &content) {
        return record_withheld(context, progress, &call, closed);
    }
    let permission = match SendPermission::for_request(context, engine.key).await {
        Ok(permission) => permission,
        Err(closed) => {
            return record_withheld(context, progress, &call, closed);
        }
    };
    let retry = if progress.call_counts.is_repeat() {
        match take_from_budget(context, progress, call.pool) {
            (Some(send), balance) => {
                record_given_up(context, progress);
                Some((send, balance))
            }
            (None, balance) => return record_denied(context, progress, &call, balance),
        }
    } else {
        None
    };
    let parts = progress.prompt_parts();
    let work_before = context.router.borrow().work.total(engine.key);
    let slot = BusySlot::occupy(&context.classes, &progress.class);
    let mut work = WorkGuard::new(
        context,
        &engine,
        call.choice.unprefilled_tokens,
        &parts,
        slot,
    );
    if call.purpose == CallPurpose::Run {
        // From now on the request counts among those at engines, so its reservation ends.
        progress.reservation = None;
    }
    count_prefill(context, progress, call.choice.unprefilled_tokens);
    let mut head = progress.request_head();
    let terms = EngineRequestOptions {
        fetch_from: call
            .choice
            .fetch_from
            .and_then(|key| engine_address(context, key)),
        deadline: progress.deadline_left(),
        run: &engine.run,
        caller: progress.caller.clone(),
        ..call.terms
    };
    context.dialect.write_request(&mut head.headers, &terms);
    progress.tried.push(engine.key);
    // If this future is dropped before the response head arrives, it is unknown whether the request
    // ran.
    if call.purpose == CallPurpose::Run {
        progress.runs += 1;
    }
    let mut watch = RunWatch::new(context, progress, &engine, call.pool);
    let sent_at = BootInstant::now();
    let sent_time = context.now();
    let known_limit = rate_limit(context, engine.key);
    let entry = entry_used(context, &engine.run);
    context.record_sent_bytes(progress.sent_bytes());
    let target = known.target();
    let sent = send(
        context,
        EngineCall {
            pool: call.pool,
            engine: &engine,
            target: &target,
            head,
            body: &progress.forwarded.body,
            content,
            paths: AllowedPaths::Any,
            is_repeatable: progress.route.kind.is_repeatable(),
            permission,
        },
    );
    let answered = timeout(call.timeout, sent).await;
    let took = sent_at.elapsed();
    let (verdict, mut signals) = classify(answered.ok());
    signals.known_limit = known_limit;
    signals.entry = entry;
    signals.software = known.software.clone();
    let (outcome, label, result) = match verdict {
        Verdict::Valid(exchange) => {
            let result = if exchange.head.status.is_server_error() {
                AttemptResult::Failed
            } else {
                AttemptResult::Success(took)
            };
            work.record_started();
            if let Some(tenant) = progress.tenant.clone()
                && call.purpose == CallPurpose::Run
            {
                work.set_tenant(tenant);
            }
            let answer = EngineAnswer {
                not_started_before: work_before.starting,
                head: exchange.head,
                body: exchange.body,
                choice: call.choice,
                software: known.software,
                work,
                watch,
                sent_at,
                answered_at: BootInstant::now(),
                target,
            };
            (
                AttemptOutcome::Answered(Box::new(answer)),
                "answered",
                Some(result),
            )
        }
        Verdict::Refused => {
            watch.dismiss();
            let now = context.now();
            context.classes.update(&progress.class, |meter| {
                meter.engine_refusals.count(now, 1.0)
            });
            (
                AttemptOutcome::Refused,
                "refused",
                Some(AttemptResult::Refused),
            )
        }
        Verdict::NotSent => {
            watch.dismiss();
            (
                AttemptOutcome::NotSent,
                "not sent",
                Some(AttemptResult::NoResponse),
            )
        }
        Verdict::NoListener => {
            watch.dismiss();
            record_engine_end(context, engine.key, &engine.run, EndProof::NoListener);
            let silent = Some(AttemptResult::NoResponse);
            (AttemptOutcome::NotSent, "no listener", silent)
        }
        Verdict::Withheld => {
            watch.dismiss();
            (AttemptOutcome::NotSent, "withheld", None)
        }
        Verdict::NoConnection => {
            watch.dismiss();
            (AttemptOutcome::NotSent, "no connection", None)
        }
        Verdict::Broken => {
            watch.record_unfinished(UnfinishedReason::NoAnswer);
            (
                AttemptOutcome::Unknown,
                "broken",
                Some(AttemptResult::Failed),
            )
        }
        Verdict::ResetWhenNew => {
            watch.record_unfinished(UnfinishedReason::NoAnswer);
            (AttemptOutcome::Unknown, "reset", None)
        }
        Verdict::NoResponse => {
            watch.record_unfinished(UnfinishedReason::Silent);
            progress.silent_calls.push(SilentCall {
                engine: engine.key,
                pool: call.pool.clone(),
                sent_at: sent_time,
            });
            (
                AttemptOutcome::Unknown,
                "silent",
                Some(AttemptResult::NoResponse),
            )
        }
    };
    if let Some(result) = result {
        let now = context.now();
        let mut router = context.router.borrow_mut();
        router.health.record(now, engine.key, result);
    }
    if call.purpose == CallPurpose::Run
        && matches!(outcome, AttemptOutcome::Refused | AttemptOutcome::NotSent)
    {
        progress.runs -= 1;
    }
    if call.purpose == CallPurpose::Run && matches!(outcome, AttemptOutcome::Answered(_)) {
        count_usage(context, progress);
    }
    let call_outcome = match &outcome {
        AttemptOutcome::Answered(_) => CallOutcome::Accepted,
        AttemptOutcome::Refused | AttemptOutcome::Unknown => CallOutcome::NotAccepted,
        AttemptOutcome::NotSent => CallOutcome::NotDelivered,
    };
    let is_free = progress.call_counts.record(call.purpose, call_outcome);
    if let Some((send, _)) = retry.filter(|_| is_free) {
        context.budget.borrow_mut().give_back(call.pool, send);
        context.metrics.retry(call.pool, RetryOutcome::Returned);
    }
    let balance = retry.map(|(_, balance)| balance);
    let record = progress.record(call.purpose, &choice, label, took, signals, balance);
    context.metrics.call(record);
    outcome
}

/// Records a call that the request itself may not make.
fn record_not_sent(
    progress: &mut Progress,
    call: &Call<'_>,
    outcome: &'static str,
) -> AttemptOutcome {
    let (no_time, no_signals) = (Duration::ZERO, CallSignals::default());
    progress.record(
        call.purpose,
        &call.choice,
        outcome,
        no_time,
        no_signals,
        None,
    );
    AttemptOutcome::NotSent
}

/// Records a call that was not sent because its engine is closed to it.
fn record_withheld(
    context: &Context,
    progress: &mut Progress,
    call: &Call<'_>,
    closed: ClosedReason,
) -> AttemptOutcome {
    let (no_time, signals) = (Duration::ZERO, closed.into());
    let record = progress.record(
        call.purpose,
        &call.choice,
        "withheld",
        no_time,
        signals,
        None,
    );
    context.metrics.call(record);
    AttemptOutcome::NotSent
}

/// Records a retry that the budget did not allow.
fn record_denied(
    context: &Context,
    progress: &mut Progress,
    call: &Call<'_>,
    balance: RetryBalance,
) -> AttemptOutcome {
    let (no_time, no_signals) = (Duration::ZERO, CallSignals::default());
    let record = progress.record(
        call.purpose,
        &call.choice,
        "no budget",
        no_time,
        no_signals,
        Some(balance),
    );
    context.metrics.call(record);
    AttemptOutcome::NotSent
}

/// The rate limit of the engine, if known.
fn rate_limit(context: &Context, engine: EngineKey) -> Option<RequestRate> {
    let router = context.router.borrow();
    let limit = router.signals.limits().get(engine);
    limit.map(|(rate, _)| rate)
}

/// The entry by which an engine is called now.
fn entry_used(context: &Context, run: &str) -> Option<EntryUsed> {
    let key = format!("{}{run}", context.store_format.engine_prefix());
    let entries = context.dissemination.entries.borrow();
    Some(EntryUsed {
        revision: entries.get(&key)?.revision,
        age: context.entries_proof.age(),
    })
}

/// Address of an engine; `None` once it takes no new requests.
fn engine_address(context: &Context, engine: EngineKey) -> Option<SocketAddr> {
    let fleet = context.fleet();
    fleet.engine(engine).map(|engine| engine.address)
}

/// Whether the request is stopped or has a held part, and this is not a trial.
pub(crate) fn is_blocked(context: &Context, progress: &Progress) -> bool {
    progress.trial.is_none()
        && (is_stopped(context, progress.fingerprint)
            || held_part(context, &progress.shared_parts).is_some())
}

/// If one more crash would stop the request, checks whether the previously called engine has
/// crashed, and awaits checks of others. Otherwise an immediate retry could crash another engine before the crash is detected.
async fn check_previous_engine(context: &Rc<Context>, progress: &Progress, pool: &PoolName) {
    let crashes = crash_count(context, progress.fingerprint)
        .max(part_crash_count(context, &progress.shared_parts));
    if crashes + 1 < STOP_AFTER_CRASHES {
        return;
    }
    if let Some(previous) = progress.tried.last().filter(|_| progress.runs > 0) {
        check_listener(context, pool, *previous).await;
    }
    await_listener_checks(context).await;
}

/// Counts the prompt tokens that an engine has to prefill.
fn count_prefill(context: &Context, progress: &Progress, unprefilled_tokens: u32) {
    if unprefilled_tokens > 0 {
        let now = context.now();
        context.classes.update(&progress.class, |meter| {
            meter
                .prefill_tokens
                .count(now, f64::from(unprefilled_tokens));
        });
    }
}

/// Counts a request for its tenant's usage, once, when an engine has started it.
fn count_usage(context: &Context, progress: &mut Progress) {
    if !std::mem::replace(&mut progress.usage_counted, true) {
        context.usage.count(context.now(), &progress.caller);
    }
}

/// Takes a retry from the budget, if it allows one; with the budget before that.
fn take_from_budget(
    context: &Context,
    progress: &Progress,
    pool: &PoolName,
) -> (Option<RepeatedSend>, RetryBalance) {
    let (now, tenant) = (context.now(), progress.tenant_code());
    let mut budget = context.budget.borrow_mut();
    let balance = budget.balance(now, pool);
    let send = budget.take(now, pool, tenant);
    let outcome = match send {
        Some(_) => RetryOutcome::Taken,
        None => RetryOutcome::Denied,
    };
    context.metrics.retry(pool, outcome);
    (send, balance)
}

/// Records that the calls of a request that engines did not answer are made again. Without a retry, a late arrival
/// would be the only one of its request.
fn record_given_up(context: &Context, progress: &mut Progress) {
    let now = context.now();
    let mut budget = context.budget.borrow_mut();
    for call in progress.silent_calls.drain(..) {
        budget.record_given_up(now, call.engine, &call.pool, call.sent_at);
    }
}

/// Classification of the result of a call.
enum Verdict {
    Valid(Box<Exchange>),
    Refused,
    NotSent,
    NoListener,
    NoConnection,
    Withheld,
    Broken,
    /// The engine reset a new connection, which says nothing about its health.
    ResetWhenNew,
    NoResponse,
}

fn classify(answered: Option<Result<EngineReply, CallError>>) -> (Verdict, CallSignals) {
    let no_signals = CallSignals::default();
    let reply = match answered {
        None => return (Verdict::NoResponse, no_signals),
        Some(Err(CallError::Closed(closed))) => return (Verdict::Withheld, closed.into()),
        Some(Err(CallError::Link(error))) => return (classify_error(&error), no_signals),
        Some(Ok(reply)) => reply,
    };
    let signals = CallSignals {
        reported: reply.signals(),
        path: reply.exchange.path,
        ..no_signals
    };
    if !reply.is_matching {
        // A stray answer to another request says nothing about this one; the connection is closed.
        return (Verdict::Broken, signals);
    }
    if reply.facts.refused {
        return (Verdict::Refused, signals);
    }
    let head = &reply.exchange.head;
    if head.status == StatusCode::OK && head.headers.contains_key(CONTENT_ENCODING) {
        return (Verdict::Broken, signals);
    }
    (Verdict::Valid(Box::new(reply.exchange)), signals)
}

fn classify_error(error: &SendError) -> Verdict {
    match error {
        SendError::ConnectionLimitReached(_) => Verdict::NoConnection,
        SendError::NoListener(_) => Verdict::NoListener,
        SendError::NotSent(_) => Verdict::NotSent,
        SendError::NotEligible => Verdict::Withheld,
        SendError::ResetWhenNew(_) => Verdict::ResetWhenNew,
        SendError::MayHaveRun(_) => Verdict::Broken,
    }
}
