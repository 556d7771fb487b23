//! What engines say of themselves in their answers and entries, as this node and others heard it.

use std::sync::Arc;
use std::time::Duration;

use dalestand_dissemination::{EngineLimit, EngineStart};
use dalestand_routing::staged::{EngineKey, LimitChange, StagedEngine};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{EngineSignals, LimitSignal, MonotonicTime, RequestRate};

use crate::context::Context;
use crate::dissemination::notice_queue::{EngineNotice, NoticeSource};
use crate::quarantine::engine_end::{EndProof, record_engine_end};

/// Takes in what an answer says of its engine. `request_sent_at` is when the request went out that it takes up,
/// if it takes one up.
pub(crate) fn apply_answer(
    context: &Context,
    engine: &StagedEngine,
    said: EngineSignals,
    request_sent_at: Option<MonotonicTime>,
) {
    take_limit(context, engine, said.limit, request_sent_at);
    if said.drains {
        let born = context.router.borrow().signals.started_at_ms(engine.key);
        apply_drain(context, engine.key, born, NoticeSource::OwnAnswer);
    }
    if let Some(backoff) = said.backoff {
        let now = context.now();
        let place = rand::random_range(0.0..1.0);
        let mut router = context.router.borrow_mut();
        if router
            .signals
            .record_backoff(now, engine.key, backoff, place)
        {
            log_event!(context.logger, Event::EngineBacksOff, "engine" => &*engine.run,
                "backoff_ms" => backoff.as_millis() as u64);
        }
    }
}

fn take_limit(
    context: &Context,
    engine: &StagedEngine,
    said: LimitSignal,
    request_sent_at: Option<MonotonicTime>,
) {
    if said == LimitSignal::Unreadable {
        context.metrics.limit_unreadable();
    }
    let now = context.now();
    let mut router = context.router.borrow_mut();
    let signals = &mut router.signals;
    let change = signals.record_limit(now, engine.key, said, request_sent_at);
    drop(router);
    if let Some(change) = change {
        limit_changed(
            context,
            engine.key,
            &engine.run,
            change,
            NoticeSource::OwnAnswer,
        );
    }
}

/// Takes in an engine's limit that another node heard, unless it was another start of it that named it.
pub(crate) fn apply_reported_limit(context: &Context, limit: &EngineLimit, source: NoticeSource) {
    let engine = EngineKey(limit.start.engine);
    let Some(run) = name(context, engine) else {
        return;
    };
    let now = context.now();
    let mut router = context.router.borrow_mut();
    let (born, known_born) = (limit.start.born, router.signals.started_at_ms(engine));
    if born != known_born && born != 0 && known_born != 0 {
        return;
    }
    let heard_at = now.saturating_sub(Duration::from_millis(limit.age_ms.into()));
    let signals = &mut router.signals;
    let change = signals.record_peer_limit(now, engine, limit.rate, heard_at);
    drop(router);
    if let Some(change) = change {
        limit_changed(context, engine, &run, change, source);
    }
}

/// What this node knows of an engine's limit, as it tells others.
pub(crate) fn known_limit(context: &Context, engine: EngineKey) -> EngineLimit {
    let now = context.now();
    let router = context.router.borrow();
    let limits = router.signals.limits();
    EngineLimit {
        start: EngineStart {
            engine: engine.0,
            born: router.signals.started_at_ms(engine),
        },
        rate: limits.get(engine).map(|(rate, _)| rate),
        age_ms: u32::try_from(limits.age(now, engine).as_millis()).unwrap_or(u32::MAX),
    }
}

/// Logs a change, and has it told.
fn limit_changed(
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

fn name(context: &Context, engine: EngineKey) -> Option<Arc<str>> {
    let fleet = context.fleet();
    fleet.engine(engine).map(|known| Arc::clone(&known.run))
}

/// Takes an engine out that has said to this node or to another that it drains, unless it was another start
/// of it that did.
pub(crate) fn apply_drain(context: &Context, engine: EngineKey, born: u64, source: NoticeSource) {
    let known_born = context.router.borrow().signals.started_at_ms(engine);
    if born != known_born && born != 0 && known_born != 0 {
        return;
    }
    let run = name(context, engine);
    if !context.drain_engine(engine) {
        return;
    }
    log_event!(context.logger, Event::EngineDrains, "engine" => run.as_deref().unwrap_or_default(),
        "source" => ?source);
    let start = EngineStart {
        engine: engine.0,
        born,
    };
    context
        .dissemination
        .notices
        .push(EngineNotice::Drains(start), source);
}

/// Notes when an engine started. Where it had started before, nothing holds that was known of it. Of what
/// other nodes tell only a later start counts: messages of the former one may be on their way.
pub(crate) fn apply_start(context: &Context, engine: EngineKey, born: u64, source: NoticeSource) {
    let known = context.router.borrow().signals.started_at_ms(engine);
    let is_told = source != NoticeSource::Entry;
    if born == known || born == 0 || (is_told && born < known) {
        return;
    }
    let run = name(context, engine);
    if known != 0 {
        let name = run.as_deref().unwrap_or_default();
        record_engine_end(context, engine, name, EndProof::StartedAgain);
    }
    context
        .router
        .borrow_mut()
        .signals
        .record_start(engine, born);
    if known == 0 {
        return;
    }
    context.reset_engine(engine);
    log_event!(context.logger, Event::EngineRestarted, "engine" => run.as_deref().unwrap_or_default(),
        "born" => born, "former" => known, "source" => ?source);
    let start = EngineStart {
        engine: engine.0,
        born,
    };
    context
        .dissemination
        .notices
        .push(EngineNotice::Started(start), source);
}
