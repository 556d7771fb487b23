//! Applies announcements by engines: drain notices, backoff, rate limits and start times.

use std::sync::Arc;
use std::time::Duration;

use dalestand_dissemination::{EngineLimit, EngineStart};
use dalestand_routing::staged::{EngineKey, LimitChange, StagedEngine};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{EngineSignals, LimitSignal, MonotonicTime, RequestRate};

use crate::context::Context;
use crate::dissemination::notice_queue::{EngineNotice, NoticeSource};
use crate::duties::usage_counts::unix_time;
use crate::quarantine::engine_end::{EndProof, record_engine_end};

/// How far an engine's clock may be ahead of this node's: more than a clock that is set to another time zone.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(24 * 60 * 60);

/// Applies the signals of an engine's answer. `request_sent_at` is when the request was sent that the
/// answer accepts, if it accepts one.
pub(crate) fn apply_answer(
    context: &Context,
    engine: &StagedEngine,
    announced: EngineSignals,
    request_sent_at: Option<MonotonicTime>,
) {
    apply_limit(context, engine, announced.limit, request_sent_at);
    if announced.draining {
        let started_at_ms = context.router.borrow().signals.started_at_ms(engine.key);
        apply_drain(context, engine.key, started_at_ms, NoticeSource::OwnAnswer);
    }
    if let Some(backoff) = announced.backoff {
        let now = context.now();
        let jitter = rand::random_range(0.0..1.0);
        let mut router = context.router.borrow_mut();
        if router
            .signals
            .record_backoff(now, engine.key, backoff, jitter)
        {
            log_event!(context.logger, Event::EngineBackoff, "engine" => &*engine.run,
                "backoff_ms" => backoff.as_millis() as u64);
        }
    }
}

fn apply_limit(
    context: &Context,
    engine: &StagedEngine,
    announced: LimitSignal,
    request_sent_at: Option<MonotonicTime>,
) {
    if announced == LimitSignal::Invalid {
        context.metrics.limit_unreadable();
    }
    let now = context.now();
    let mut router = context.router.borrow_mut();
    let signals = &mut router.signals;
    let change = signals.record_limit(now, engine.key, announced, request_sent_at);
    drop(router);
    if let Some(change) = change {
        report_limit_change(
            context,
            engine.key,
            &engine.run,
            change,
            NoticeSource::OwnAnswer,
        );
    }
}

/// Applies a rate limit reported by another node, unless it belongs to another start of the engine.
pub(crate) fn apply_reported_limit(context: &Context, limit: &EngineLimit, source: NoticeSource) {
    let engine = EngineKey(limit.start.engine);
    let Some(run) = run_name(context, engine) else {
        return;
    };
    let now = context.now();
    let mut router = context.router.borrow_mut();
    let (started_at_ms, known_start) = (
        limit.start.started_at_ms,
        router.signals.started_at_ms(engine),
    );
    if started_at_ms != known_start && started_at_ms != 0 && known_start != 0 {
        return;
    }
    let heard_at = now.saturating_sub(Duration::from_millis(limit.age_ms.into()));
    let signals = &mut router.signals;
    let change = signals.record_peer_limit(now, engine, limit.rate, heard_at);
    drop(router);
    if let Some(change) = change {
        report_limit_change(context, engine, &run, change, source);
    }
}

/// The known limit of an engine, for other nodes.
pub(crate) fn known_limit(context: &Context, engine: EngineKey) -> EngineLimit {
    let now = context.now();
    let router = context.router.borrow();
    let limits = router.signals.limits();
    EngineLimit {
        start: EngineStart {
            engine: engine.0,
            started_at_ms: router.signals.started_at_ms(engine),
        },
        rate: limits.get(engine).map(|(rate, _)| rate),
        age_ms: u32::try_from(limits.age(now, engine).as_millis()).unwrap_or(u32::MAX),
    }
}

/// Logs a changed limit and queues it for other nodes.
fn report_limit_change(
    context: &Context,
    engine: EngineKey,
    run: &str,
    change: LimitChange,
    source: NoticeSource,
) {
    let text = |rate: Option<RequestRate>| match rate {
        Some(rate) => rate.to_string(),
        None => "none".to_owned(),
    };
    log_event!(context.logger, Event::EngineLimit, "engine" => run,
        "limit" => text(change.current), "former" => text(change.previous), "source" => ?source);
    let notices = &context.dissemination.notices;
    notices.push(EngineNotice::Limit(engine), source);
}

fn run_name(context: &Context, engine: EngineKey) -> Option<Arc<str>> {
    let fleet = context.fleet();
    fleet.engine(engine).map(|known| Arc::clone(&known.run))
}

/// Applies a drain notice received by this or another node, unless it belongs to another start of the
/// engine.
pub(crate) fn apply_drain(
    context: &Context,
    engine: EngineKey,
    started_at_ms: u64,
    source: NoticeSource,
) {
    let known_start = context.router.borrow().signals.started_at_ms(engine);
    if started_at_ms != known_start && started_at_ms != 0 && known_start != 0 {
        return;
    }
    let run = run_name(context, engine);
    if !context.drain_engine(engine) {
        return;
    }
    log_event!(context.logger, Event::EngineDraining, "engine" => run.as_deref().unwrap_or_default(),
        "source" => ?source);
    let start = EngineStart {
        engine: engine.0,
        started_at_ms,
    };
    context
        .dissemination
        .notices
        .push(EngineNotice::Drains(start), source);
}

/// Whether a start time is too far in the future to be one. No true start would count as later than it.
fn is_far_ahead(started_at_ms: u64) -> bool {
    Duration::from_millis(started_at_ms) > unix_time() + MAX_CLOCK_LEAD
}

/// Applies a start time; one that cannot be true is taken as unknown. A restart resets all that is known of the engine. Start times reported by other
/// nodes must be later than the known one, because messages about a previous start may be delayed.
pub(crate) fn apply_start(
    context: &Context,
    engine: EngineKey,
    started_at_ms: u64,
    source: NoticeSource,
) {
    if is_far_ahead(started_at_ms) {
        return;
    }
    let known = context.router.borrow().signals.started_at_ms(engine);
    let is_reported = matches!(source, NoticeSource::Member | NoticeSource::Relay);
    if started_at_ms == known || started_at_ms == 0 || (is_reported && started_at_ms < known) {
        return;
    }
    let run = run_name(context, engine);
    if known != 0 {
        let name = run.as_deref().unwrap_or_default();
        record_engine_end(context, engine, name, EndProof::StartedAgain);
    }
    context
        .router
        .borrow_mut()
        .signals
        .record_start(engine, started_at_ms);
    if known == 0 {
        return;
    }
    context.reset_engine(engine);
    log_event!(context.logger, Event::EngineRestarted, "engine" => run.as_deref().unwrap_or_default(),
        "born" => started_at_ms, "former" => known, "source" => ?source);
    let start = EngineStart {
        engine: engine.0,
        started_at_ms,
    };
    context
        .dissemination
        .notices
        .push(EngineNotice::Started(start), source);
}
