//! Makes calls to engines and records their outcomes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::RequestHead;
use dalestand_clock::{BootInstant, timeout_at};
use dalestand_edge::routed::EngineRequestOptions;
use dalestand_engine_link::{LinkTarget, ResponseBody, ResponseHead};
use dalestand_quarantine::STOP_AFTER_CRASHES;
use dalestand_routing::staged::{AttemptResult, ClosedReason, EngineChoice, EngineKey};
use dalestand_routing::{CallOutcome, CallPurpose, RepeatedSend, RetryBalance};
use dalestand_types::{PoolName, RequestRate, SoftwareVersion};

use crate::context::Context;
use crate::fleet::engine_runs::record_no_listener;
use crate::fleet::run_check::confirm_run;
use crate::node::metrics::RetryOutcome;
use crate::permits::send_permission::SendPermission;
use crate::quarantine::engine_end::{
    EndProof, await_listener_checks, check_listener, record_engine_end,
};
use crate::quarantine::evidence::{crash_count, is_stopped};
use crate::quarantine::parts::evidence::{held_part, part_crash_count};
use crate::quarantine::run_watch::{RunWatch, UnfinishedReason};
use crate::serve::call_verdict::{Verdict, classify};
use crate::serve::class_counts::BusySlot;
use crate::serve::engine_send::{CallContent, CallError, EngineReply, closed_reason};
use crate::serve::open_call::{OpenCall, OwnedCall, next_reply, send_owned};
use crate::serve::progress::{CallSignals, EntryUsed, Progress, SilentCall};
use crate::serve::work_guard::WorkGuard;

/// The response to a call, after its head was found to belong to the request.
pub(crate) struct EngineAnswer {
    pub(crate) head: ResponseHead,
    pub(crate) body: ResponseBody,
    /// The engine's pool.
    pub(crate) pool: PoolName,
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

impl EngineAnswer {
    /// Whether the engine reports a failure of its own.
    pub(super) fn is_server_error(&self) -> bool {
        self.head.status.is_server_error()
    }
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
///
/// If the engine stays silent for the call's time limit, the call stays open, as far as the request may be repeated: the
/// engine may go on before another one answers. The answer returned may thus be that of an earlier call.
pub(crate) async fn attempt(
    context: &Rc<Context>,
    progress: &mut Progress,
    call: Call<'_>,
) -> AttemptOutcome {
    let time_limit = call.timeout;
    let call = match open_call(context, progress, call).await {
        Ok(call) => call,
        Err(outcome) => return outcome,
    };
    let own = call.id();
    progress.open_calls.push(call);
    let until = BootInstant::now() + time_limit;
    loop {
        let replied = timeout_at(until, next_reply(&mut progress.open_calls)).await;
        let Ok((call, reply)) = replied else {
            return record_silence(context, progress);
        };
        let is_own = call.id() == own;
        match settle(context, progress, call, Some(reply)) {
            AttemptOutcome::Answered(answer) if is_own || !answer.is_server_error() => {
                abandon_if_taken_over(context, progress, &answer);
                return AttemptOutcome::Answered(answer);
            }
            AttemptOutcome::Answered(answer) => progress.late_error = Some(answer),
            outcome if is_own => return outcome,
            _ => {}
        }
    }
}

/// Waits for an answer to a call that is still open, if possible one without a server error; `None` if there is none.
pub(crate) async fn await_open_calls(
    context: &Context,
    progress: &mut Progress,
) -> Option<Box<EngineAnswer>> {
    while !progress.open_calls.is_empty() {
        let (call, reply) = next_reply(&mut progress.open_calls).await;
        match settle(context, progress, call, Some(reply)) {
            AttemptOutcome::Answered(answer) if answer.is_server_error() => {
                progress.late_error = Some(answer);
            }
            AttemptOutcome::Answered(answer) => {
                abandon_if_taken_over(context, progress, &answer);
                return Some(answer);
            }
            AttemptOutcome::Refused | AttemptOutcome::NotSent | AttemptOutcome::Unknown => {}
        }
    }
    progress.late_error.take()
}

/// Gives up the open calls of a stream that an engine has accepted. A whole answer has to arrive first.
fn abandon_if_taken_over(context: &Context, progress: &mut Progress, answer: &EngineAnswer) {
    if progress.route.kind.is_stream() && answer.head.status.is_success() {
        abandon_open_calls(context, progress);
    }
}

/// Prepares a call and counts it as sent, unless it may not be made.
async fn open_call(
    context: &Rc<Context>,
    progress: &mut Progress,
    call: Call<'_>,
) -> Result<OpenCall, AttemptOutcome> {
    let engine = call.choice.engine.clone();
    let kind = progress.route.kind;
    if call.purpose == CallPurpose::Run && kind.is_stream() && kind.is_repeatable() {
        confirm_run(context, call.pool, &engine).await;
    }
    let Some(known) = context.fleet().engine(engine.key).cloned() else {
        return Err(AttemptOutcome::NotSent);
    };
    // The engine may have been chosen before the caller got events of another one.
    if !progress.binding.allows(call.pool, known.software.as_ref()) {
        return Err(record_not_sent(progress, &call, "other software"));
    }
    check_previous_engine(context, progress, call.pool).await;
    // Checked for each call, as the request may have been stopped since it arrived.
    if is_blocked(context, progress) {
        return Err(record_not_sent(progress, &call, "stopped"));
    }
    let content = CallContent::Request(progress.facts.id.clone());
    if let Some(closed) = closed_reason(context, &engine, &content) {
        return Err(record_withheld(context, progress, &call, closed));
    }
    let permission = match SendPermission::for_request(context, engine.key).await {
        Ok(permission) => permission,
        Err(closed) => {
            return Err(record_withheld(context, progress, &call, closed));
        }
    };
    let retry = if progress.call_counts.is_repeat() {
        match take_from_budget(context, progress, call.pool) {
            (Some(send), balance) => {
                record_given_up(context, progress);
                Some((send, balance))
            }
            (None, balance) => return Err(record_denied(context, progress, &call, balance)),
        }
    } else {
        None
    };
    let not_started_before = context.router.borrow().work.total(engine.key).starting;
    let work = occupy_engine(context, progress, &call);
    let head = call_head(context, progress, &call);
    progress.tried.push(engine.key);
    // If the request is dropped before the response head arrives, it is unknown whether it ran.
    if call.purpose == CallPurpose::Run {
        progress.runs += 1;
    }
    context.record_sent_bytes(progress.sent_bytes());
    let target = known.target();
    let sending = send_owned(
        Rc::clone(context),
        OwnedCall {
            pool: call.pool.clone(),
            engine: engine.clone(),
            target: target.clone(),
            head,
            body: progress.forwarded.body.clone(),
            content,
            is_repeatable: progress.route.kind.is_repeatable(),
            permission,
        },
    );
    Ok(OpenCall {
        sending: Box::pin(sending),
        watch: RunWatch::new(context, progress, &engine, call.pool),
        work,
        purpose: call.purpose,
        pool: call.pool.clone(),
        known_limit: rate_limit(context, engine.key),
        entry: entry_used(context, &engine.run),
        choice: call.choice,
        target,
        software: known.software,
        sent_at: BootInstant::now(),
        sent_time: context.now(),
        not_started_before,
        retry,
        silent_record: None,
    })
}

/// Counts the request at the engine of a call that is about to be sent.
fn occupy_engine(context: &Rc<Context>, progress: &mut Progress, call: &Call<'_>) -> WorkGuard {
    let choice = &call.choice;
    let parts = progress.prompt_parts();
    let slot = BusySlot::occupy(&context.classes, &progress.class);
    let work = WorkGuard::new(
        context,
        &choice.engine,
        choice.unprefilled_tokens,
        &parts,
        slot,
    );
    if call.purpose == CallPurpose::Run {
        // From now on the request counts among those at engines, so its reservation ends.
        progress.reservation = None;
    }
    count_prefill(context, progress, choice.unprefilled_tokens);
    work
}

/// The head of the request as it is sent with a call.
fn call_head(context: &Context, progress: &Progress, call: &Call<'_>) -> RequestHead {
    let mut head = progress.request_head();
    let terms = EngineRequestOptions {
        fetch_from: call
            .choice
            .fetch_from
            .and_then(|key| engine_address(context, key)),
        deadline: progress.deadline_left(),
        run: &call.choice.engine.run,
        caller: progress.caller.clone(),
        ..call.terms.clone()
    };
    context.dialect.write_request(&mut head.headers, &terms);
    head
}

/// Records that the engine of the newest call has not answered in time. A run that may be repeated stays open.
fn record_silence(context: &Context, progress: &mut Progress) -> AttemptOutcome {
    let Some(mut call) = progress.open_calls.pop() else {
        return AttemptOutcome::Unknown;
    };
    progress.silent_calls.push(SilentCall {
        engine: call.choice.engine.key,
        pool: call.pool.clone(),
        sent_at: call.sent_time,
    });
    let stays_open = call.purpose == CallPurpose::Run && progress.route.kind.is_repeatable();
    if !stays_open {
        return settle(context, progress, call, None);
    }
    call.watch.record_silence();
    record_health(context, &call, AttemptResult::NoResponse);
    record_outcome(
        context,
        progress,
        &mut call,
        "silent",
        CallSignals::default(),
    );
    progress
        .call_counts
        .record(CallPurpose::Run, CallOutcome::NotAccepted);
    call.silent_record = Some(progress.calls.len() - 1);
    progress.open_calls.push(call);
    AttemptOutcome::Unknown
}

/// Gives up the calls that are still open, because the request has an answer.
pub(crate) fn abandon_open_calls(context: &Context, progress: &mut Progress) {
    progress.late_error = None;
    for mut call in std::mem::take(&mut progress.open_calls) {
        if call.is_silent() {
            call.watch.record_unfinished(UnfinishedReason::Silent);
            continue;
        }
        let (now, engine) = (context.now(), call.choice.engine.key);
        let mut budget = context.budget.borrow_mut();
        // The engine may read the call later.
        budget.record_given_up(now, engine, &call.pool, call.sent_time);
        drop(budget);
        record_outcome(
            context,
            progress,
            &mut call,
            "overtaken",
            CallSignals::default(),
        );
        let counts = &mut progress.call_counts;
        counts.record(call.purpose, CallOutcome::NotAccepted);
    }
}

/// Records the newest call as unanswered at the request's time limit.
pub(crate) fn record_unanswered(context: &Context, progress: &mut Progress) {
    let Some(mut call) = progress.open_calls.pop() else {
        return;
    };
    if !call.is_silent() {
        let no_signals = CallSignals::default();
        record_outcome(context, progress, &mut call, "unanswered", no_signals);
    }
    progress.open_calls.push(call);
}

/// Classifies the result of a call and records it; `None` if the call is given up without one.
fn settle(
    context: &Context,
    progress: &mut Progress,
    mut call: OpenCall,
    reply: Option<Result<EngineReply, CallError>>,
) -> AttemptOutcome {
    let was_answered = reply.is_some();
    let (verdict, signals) = classify(call.purpose, reply);
    let took = call.sent_at.elapsed();
    let (label, result) = verdict.label_and_result(took);
    match &verdict {
        Verdict::Refused
        | Verdict::NotSent
        | Verdict::NoListener
        | Verdict::Withheld
        | Verdict::NoConnection => call.watch.dismiss(),
        Verdict::Broken | Verdict::ResetWhenNew => {
            call.watch.record_unfinished(UnfinishedReason::NoAnswer);
        }
        Verdict::NoResponse => call.watch.record_unfinished(UnfinishedReason::Silent),
        Verdict::Valid(_) => {}
    }
    match &verdict {
        Verdict::Refused => {
            let now = context.now();
            context.classes.update(&progress.class, |meter| {
                meter.engine_refusals.count(now, 1.0)
            });
        }
        Verdict::NoListener => {
            let engine = &call.choice.engine;
            record_no_listener(context, engine.key, &call.target);
            record_engine_end(context, engine.key, &engine.run, EndProof::NoListener);
        }
        _ => {}
    }
    if let Some(result) = result {
        record_health(context, &call, result);
    }
    if was_answered {
        let engine = call.choice.engine.key;
        let silent_calls = &mut progress.silent_calls;
        silent_calls.retain(|silent| silent.engine != engine || silent.sent_at != call.sent_time);
    }
    record_outcome(context, progress, &mut call, label, signals);
    let call_outcome = verdict.call_outcome();
    if call.purpose == CallPurpose::Run && verdict.shows_not_run() {
        progress.runs -= 1;
    }
    // The count of a silent call was taken when it fell silent.
    if !call.is_silent() {
        let is_free = progress.call_counts.record(call.purpose, call_outcome);
        if let Some((send, _)) = call.retry.filter(|_| is_free) {
            context.budget.borrow_mut().give_back(&call.pool, send);
            context.metrics.retry(&call.pool, RetryOutcome::Returned);
        }
    }
    match verdict {
        Verdict::Valid(exchange) => {
            if call.purpose == CallPurpose::Run {
                if let Some(tenant) = progress.tenant.clone() {
                    call.work.set_tenant(tenant);
                }
                count_usage(context, progress);
            }
            AttemptOutcome::Answered(Box::new(call.into_answer(*exchange)))
        }
        Verdict::Refused => AttemptOutcome::Refused,
        Verdict::NotSent | Verdict::NoListener | Verdict::Withheld | Verdict::NoConnection => {
            AttemptOutcome::NotSent
        }
        Verdict::Broken | Verdict::ResetWhenNew | Verdict::NoResponse => AttemptOutcome::Unknown,
    }
}

fn record_health(context: &Context, call: &OpenCall, result: AttemptResult) {
    let now = context.now();
    let mut router = context.router.borrow_mut();
    router.health.record(now, call.choice.engine.key, result);
}

/// Records the outcome of a call for the log and the metrics. That of a call that was silent before replaces the former
/// one.
fn record_outcome(
    context: &Context,
    progress: &mut Progress,
    call: &mut OpenCall,
    outcome: &'static str,
    mut signals: CallSignals,
) {
    signals.known_limit = call.known_limit;
    signals.entry = call.entry;
    signals.software = call.software.clone();
    let took = call.sent_at.elapsed();
    let balance = call.retry.map(|(_, balance)| balance);
    let (purpose, choice) = (call.purpose, &call.choice);
    let record = match call.silent_record {
        Some(index) => progress.record_late(index, outcome, took, signals),
        None => Some(progress.record(purpose, choice, outcome, took, signals, balance)),
    };
    if let Some(record) = record {
        context.metrics.call(record);
    }
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
