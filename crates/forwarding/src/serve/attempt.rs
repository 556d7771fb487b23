//! One call to one engine, and what it proves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::CONTENT_ENCODING;
use dalestand_clock::{BootInstant, timeout};
use dalestand_edge::routed::EngineRequestOptions;
use dalestand_engine_link::{AnswerBody, Exchange, LinkTarget, ResponseHead, SendError};
use dalestand_quarantine::STOP_AFTER_CRASHES;
use dalestand_routing::staged::{AttemptResult, ClosedReason, EngineChoice, EngineKey};
use dalestand_routing::{CallOutcome, CallPurpose, RepeatedSend};
use dalestand_types::{PoolName, RequestRate};

use crate::context::Context;
use crate::permits::passage::Passage;
use crate::quarantine::engine_end::{EndProof, ask_listener, record_engine_end};
use crate::quarantine::evidence::{crashes, is_stopped};
use crate::quarantine::run_watch::{RunWatch, Unfinished};
use crate::serve::class_counts::BusySlot;
use crate::serve::engine_send::{CallContent, CallError, EngineCall, EngineReply, closed, send};
use crate::serve::progress::{CallSignals, Progress};
use crate::serve::work_guard::WorkGuard;

/// An answer's head that was found to be that of this request.
pub(crate) struct EngineAnswer {
    pub(crate) head: ResponseHead,
    pub(crate) body: AnswerBody,
    pub(crate) choice: EngineChoice,
    pub(crate) work: WorkGuard,
    pub(crate) watch: RunWatch,
    pub(crate) sent_at: BootInstant,
    /// Where it was sent.
    pub(crate) target: LinkTarget,
    /// Requests at the engine, of all nodes, that had not begun when it was sent.
    pub(crate) before: u32,
}

/// How a call came out.
pub(crate) enum AttemptEnd {
    /// The engine answers this request; it may have run.
    Answered(Box<EngineAnswer>),
    /// The engine did not run it, and says so.
    Refused,
    /// Nothing went out.
    NotSent,
    /// The request may have run and no sound answer came.
    Unknown,
}

/// What a call is for.
pub(crate) struct Call<'a> {
    pub(crate) purpose: CallPurpose,
    pub(crate) pool: &'a PoolName,
    pub(crate) choice: EngineChoice,
    pub(crate) terms: EngineRequestOptions<'a>,
    /// Time in which a head must come.
    pub(crate) patience: Duration,
}

/// Makes one call. What it proves is noted in `progress` and in the engine's health.
pub(crate) async fn attempt(
    context: &Rc<Context>,
    progress: &mut Progress,
    call: Call<'_>,
) -> AttemptEnd {
    let choice = call.choice.clone();
    let engine = choice.engine.clone();
    let Some(known) = context.fleet().engine(engine.key).cloned() else {
        return AttemptEnd::NotSent;
    };
    learn_former_end(context, progress, call.pool).await;
    // At each call, not only when it came: others may have stopped it meanwhile.
    if is_refused(context, progress) {
        progress.record(
            call.purpose,
            &call.choice,
            "stopped",
            Duration::ZERO,
            CallSignals::default(),
        );
        return AttemptEnd::NotSent;
    }
    let content = CallContent::Request(progress.facts.id.clone());
    if let Some(closed) = closed(context, &engine, &content) {
        return withheld(context, progress, &call, closed);
    }
    let passage = match Passage::for_request(context, engine.key).await {
        Ok(passage) => passage,
        Err(closed) => {
            return withheld(context, progress, &call, closed);
        }
    };
    let taken = if progress.call_counts.is_repeat() {
        let Some(send) = take_repeat(context, call.pool) else {
            let (none, nothing) = (Duration::ZERO, CallSignals::default());
            progress.record(call.purpose, &call.choice, "no budget", none, nothing);
            return AttemptEnd::NotSent;
        };
        Some(send)
    } else {
        None
    };
    let parts = progress.parts();
    let before = context.router.borrow().work.total(engine.key);
    let slot = BusySlot::taken(&context.classes, &progress.class);
    let mut work = WorkGuard::new(context, &engine, call.choice.unread_tokens, &parts, slot);
    if call.purpose == CallPurpose::Run {
        // From here on it counts among the requests at engines.
        progress.place = None;
    }
    count_prefill(context, progress, call.choice.unread_tokens);
    let mut head = progress.head();
    let terms = EngineRequestOptions {
        fetch_from: call.choice.fetch_from.and_then(|key| address(context, key)),
        deadline: progress.deadline_left(),
        run: &engine.run,
        caller: progress.caller.clone(),
        ..call.terms
    };
    context.dialect.write_request(&mut head.headers, &terms);
    progress.tried.push(engine.key);
    // Whoever drops this future before the answer's head has come leaves the request in doubt.
    if call.purpose == CallPurpose::Run {
        progress.runs += 1;
    }
    let mut watch = RunWatch::new(context, progress, &engine, call.pool);
    let sent_at = BootInstant::now();
    let known_limit = limit(context, engine.key);
    context.sent(progress.sent_bytes());
    let target = known.target();
    let sent = send(
        context,
        EngineCall {
            pool: call.pool,
            engine: &engine,
            target: &target,
            head,
            body: &progress.passed.body,
            content,
            passage,
        },
    );
    let answered = timeout(call.patience, sent).await;
    let took = sent_at.elapsed();
    let (judged, mut signals) = judge(answered.ok());
    signals.known_limit = known_limit;
    let (end, outcome, result) = match judged {
        Judged::Sound(exchange) => {
            let result = if exchange.head.status.is_server_error() {
                AttemptResult::Failed
            } else {
                AttemptResult::Success(took)
            };
            work.begun();
            if let Some(tenant) = progress.tenant.clone()
                && call.purpose == CallPurpose::Run
            {
                work.counts_for(tenant);
            }
            let answer = EngineAnswer {
                before: before.starting,
                head: exchange.head,
                body: exchange.body,
                choice: call.choice,
                work,
                watch,
                sent_at,
                target,
            };
            (
                AttemptEnd::Answered(Box::new(answer)),
                "answered",
                Some(result),
            )
        }
        Judged::Refused => {
            watch.over();
            let now = context.now();
            context.classes.note(&progress.class, |meter| {
                meter.engine_refusals.count(now, 1.0)
            });
            (AttemptEnd::Refused, "refused", Some(AttemptResult::Refused))
        }
        Judged::NotSent => {
            watch.over();
            (
                AttemptEnd::NotSent,
                "not sent",
                Some(AttemptResult::NoResponse),
            )
        }
        Judged::NoListener => {
            watch.over();
            record_engine_end(context, engine.key, &engine.run, EndProof::NoListener);
            let silent = Some(AttemptResult::NoResponse);
            (AttemptEnd::NotSent, "no listener", silent)
        }
        Judged::Withheld => {
            watch.over();
            (AttemptEnd::NotSent, "withheld", None)
        }
        Judged::NoConnection => {
            watch.over();
            (AttemptEnd::NotSent, "no connection", None)
        }
        Judged::Broken => {
            watch.unfinished(Unfinished::NoAnswer);
            (AttemptEnd::Unknown, "broken", Some(AttemptResult::Failed))
        }
        Judged::Silent => {
            watch.unfinished(Unfinished::Silent);
            (
                AttemptEnd::Unknown,
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
    if call.purpose == CallPurpose::Run && matches!(end, AttemptEnd::Refused | AttemptEnd::NotSent)
    {
        progress.runs -= 1;
    }
    if call.purpose == CallPurpose::Run && matches!(end, AttemptEnd::Answered(_)) {
        count_usage(context, progress);
    }
    let call_outcome = match &end {
        AttemptEnd::Answered(_) => CallOutcome::Accepted,
        AttemptEnd::Refused | AttemptEnd::Unknown => CallOutcome::NotAccepted,
        AttemptEnd::NotSent => CallOutcome::NotDelivered,
    };
    let is_free = progress.call_counts.record(call.purpose, call_outcome);
    if let Some(send) = taken.filter(|_| is_free) {
        context.budget.borrow_mut().give_back(call.pool, send);
    }
    let record = progress.record(call.purpose, &choice, outcome, took, signals);
    context.metrics.call(record);
    end
}

/// Notes a call that did not go out because its engine is closed.
fn withheld(
    context: &Context,
    progress: &mut Progress,
    call: &Call<'_>,
    closed: ClosedReason,
) -> AttemptEnd {
    let (none, signals) = (Duration::ZERO, closed.into());
    let record = progress.record(call.purpose, &call.choice, "withheld", none, signals);
    context.metrics.call(record);
    AttemptEnd::NotSent
}

/// The engine's limit, if it is known to have one.
fn limit(context: &Context, engine: EngineKey) -> Option<RequestRate> {
    let router = context.router.borrow();
    let limit = router.signals.limits().get(engine);
    limit.map(|(rate, _)| rate)
}

/// Where an engine listens; `None` once it takes no new work.
fn address(context: &Context, engine: EngineKey) -> Option<SocketAddr> {
    let fleet = context.fleet();
    fleet.engine(engine).map(|engine| engine.address)
}

/// Whether the request ends engines, and is not let run all the same.
pub(crate) fn is_refused(context: &Context, progress: &Progress) -> bool {
    !progress.is_trial && is_stopped(context, progress.fingerprint)
}

/// Has the end of the engine that was called before known, where it decides whether the request is
/// stopped: without it, a request that is sent on at once ends one engine more.
async fn learn_former_end(context: &Rc<Context>, progress: &Progress, pool: &PoolName) {
    let Some(former) = progress.tried.last().filter(|_| progress.runs > 0) else {
        return;
    };
    if crashes(context, progress.fingerprint) + 1 >= STOP_AFTER_CRASHES {
        ask_listener(context, pool, *former).await;
    }
}

/// Counts the prompt tokens that an engine is sent.
fn count_prefill(context: &Context, progress: &Progress, unread_tokens: u32) {
    if unread_tokens > 0 {
        let now = context.now();
        context.classes.note(&progress.class, |meter| {
            meter.prefill_tokens.count(now, f64::from(unread_tokens));
        });
    }
}

/// Counts a request for its tenant, once: an engine has begun it.
fn count_usage(context: &Context, progress: &mut Progress) {
    if !std::mem::replace(&mut progress.is_counted, true) {
        context.usage.count(context.now(), &progress.caller);
    }
}

fn take_repeat(context: &Context, pool: &PoolName) -> Option<RepeatedSend> {
    let now = context.now();
    context.budget.borrow_mut().take(now, pool)
}

/// What came, judged by whether it is an answer to this request.
enum Judged {
    Sound(Box<Exchange>),
    Refused,
    NotSent,
    NoListener,
    NoConnection,
    Withheld,
    Broken,
    Silent,
}

fn judge(answered: Option<Result<EngineReply, CallError>>) -> (Judged, CallSignals) {
    let nothing = CallSignals::default();
    let reply = match answered {
        None => return (Judged::Silent, nothing),
        Some(Err(CallError::Closed(closed))) => return (Judged::Withheld, closed.into()),
        Some(Err(CallError::Link(error))) => return (judge_error(&error), nothing),
        Some(Ok(reply)) => reply,
    };
    let signals = CallSignals {
        said: reply.signals(),
        ..nothing
    };
    if !reply.is_own {
        // A surplus answer to another request: it proves nothing, and the connection goes.
        return (Judged::Broken, signals);
    }
    if reply.facts.refused {
        return (Judged::Refused, signals);
    }
    let head = &reply.exchange.head;
    if head.status == StatusCode::OK && head.headers.contains_key(CONTENT_ENCODING) {
        return (Judged::Broken, signals);
    }
    (Judged::Sound(Box::new(reply.exchange)), signals)
}

fn judge_error(error: &SendError) -> Judged {
    match error {
        SendError::NoConnection(_) => Judged::NoConnection,
        SendError::NoListener(_) => Judged::NoListener,
        SendError::NotSent(_) => Judged::NotSent,
        SendError::Withheld => Judged::Withheld,
        SendError::MayHaveRun(_) => Judged::Broken,
    }
}
