//! Asks engines whether they still run the start that their entries describe.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use dalestand_clock::timeout;
use dalestand_dissemination::EngineStart;
use dalestand_engine_link::AllowedPaths;
use dalestand_routing::staged::{EngineKey, StagedEngine};
use dalestand_types::PoolName;
use futures_util::stream::{self, StreamExt as _};

use crate::context::Context;
use crate::dissemination::notice_queue::{EngineNotice, NoticeSource};
use crate::fleet::engine_runs::{is_withheld, known_start, withhold};
use crate::fleet::signals::apply_start;
use crate::quarantine::engine_end::check_listener;
use crate::serve::engine_call::call_engine;

/// Longest wait of a request for a report. A report takes about a round trip; an engine that takes longer is no better
/// choice for the request.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// How often engines whose versions are withheld are asked again.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Engines that are asked again at the same time.
const MAX_CONCURRENT_RECHECKS: usize = 8;

/// Makes sure, before a stream relies on the version in the engine's entry, that the engine still runs the start that the
/// entry describes. Asks the engine if that is in doubt. If it says otherwise, or nothing, its version is not known afterwards.
pub(crate) async fn confirm_run(context: &Rc<Context>, pool: &PoolName, engine: &StagedEngine) {
    if is_in_doubt(context, engine.key) {
        ask_once(context, pool, engine).await;
    } else if let Some(start) = known_start(context, engine.key)
        && context.engine_runs.is_unreported(start)
        && has_old_entries(context)
        && may_have_restarted(context, engine.key)
    {
        withhold(context, start, false, NoticeSource::OwnAnswer);
    }
}

fn is_in_doubt(context: &Context, engine: EngineKey) -> bool {
    let Some(start) = known_start(context, engine) else {
        return false;
    };
    context.engine_runs.is_unknown(start)
        || (context.engine_runs.is_confirmed(start) && may_have_restarted(context, engine))
}

/// Whether a restart of the engine could have gone unnoticed: it has ended an idle connection, or no connection to it is
/// open, which would have broken.
fn may_have_restarted(context: &Context, engine: EngineKey) -> bool {
    let target = context.fleet().engine(engine).map(|known| known.target());
    target.is_some_and(|target| {
        context.link.close_ended(&target) || !context.link.is_connected(&target)
    })
}

/// Whether the entry of an engine may be older than its restart.
fn has_old_entries(context: &Context) -> bool {
    let entries_age = context.entries_proof.age();
    entries_age.is_none_or(|age| age >= context.settings.engine_drain())
}

/// Asks the engine, unless it is being asked, and waits for its answer. The version of one that does not answer in time is
/// withheld.
async fn ask_once(context: &Rc<Context>, pool: &PoolName, engine: &StagedEngine) {
    let Some(start) = known_start(context, engine.key) else {
        return;
    };
    let runs = &context.engine_runs;
    if runs.asked.borrow_mut().insert(engine.key) {
        let (context, pool, engine) = (Rc::clone(context), pool.clone(), engine.clone());
        actix_rt::spawn(async move {
            ask(&context, &pool, &engine, start).await;
            context.engine_runs.asked.borrow_mut().remove(&engine.key);
            context.engine_runs.answered.notify_waiters();
        });
    }
    let answered = async {
        loop {
            let answered = runs.answered.notified();
            if !runs.asked.borrow().contains(&engine.key) {
                return;
            }
            answered.await;
        }
    };
    if timeout(REPORT_TIMEOUT, answered).await.is_err()
        && known_start(context, engine.key) == Some(start)
    {
        withhold(context, start, false, NoticeSource::OwnAnswer);
    }
}

/// What an engine says about its start.
enum ReportedStart {
    At(u64),
    /// It answers without a start time.
    Absent,
    /// It does not answer, or not now.
    NoAnswer,
}

async fn ask(context: &Rc<Context>, pool: &PoolName, engine: &StagedEngine, start: EngineStart) {
    let reported = read_start(context, pool, engine).await;
    if known_start(context, engine.key) != Some(start) {
        return;
    }
    match reported {
        ReportedStart::At(started_at_ms) if started_at_ms == start.started_at_ms => {
            confirm(context, start);
            let notices = &context.dissemination.notices;
            notices.push(EngineNotice::Confirmed(start), NoticeSource::OwnAnswer);
        }
        ReportedStart::At(started_at_ms) => {
            apply_start(context, engine.key, started_at_ms, NoticeSource::OwnAnswer);
            let start = EngineStart {
                started_at_ms,
                ..start
            };
            confirm(context, start);
        }
        ReportedStart::Absent => context.engine_runs.record_unreported(start),
        ReportedStart::NoAnswer => {
            if withhold(context, start, false, NoticeSource::OwnAnswer) {
                check_listener(context, pool, engine.key).await;
            }
        }
    }
}

async fn read_start(
    context: &Rc<Context>,
    pool: &PoolName,
    engine: &StagedEngine,
) -> ReportedStart {
    let head = context.dialect.report_request();
    let paths = AllowedPaths::Any;
    let answered = call_engine(context, pool, engine, head, Bytes::new(), paths).await;
    let Some((status, body)) = answered else {
        return ReportedStart::NoAnswer;
    };
    if status.is_success() {
        let started_at_ms = context.dialect.read_report_start(&body);
        return started_at_ms.map_or(ReportedStart::Absent, ReportedStart::At);
    }
    let is_temporary = status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error();
    if is_temporary {
        ReportedStart::NoAnswer
    } else {
        ReportedStart::Absent
    }
}

/// Records that an engine has confirmed a start, and uses the version in its entry again.
fn confirm(context: &Context, start: EngineStart) {
    if let Some(software) = context.engine_runs.confirm(start) {
        context.record_software(EngineKey(start.engine), software);
    }
}

/// Applies that an engine has confirmed a start to another node. It does not outweigh the proof of an end.
pub(crate) fn apply_confirmed(context: &Context, start: EngineStart, source: NoticeSource) {
    let is_known = known_start(context, EngineKey(start.engine)) == Some(start);
    if is_known && context.engine_runs.is_unknown(start) {
        confirm(context, start);
        let notices = &context.dissemination.notices;
        notices.push(EngineNotice::Confirmed(start), source);
    }
}

/// Asks engines whose versions are withheld until they answer, are no longer listed, or an entry of a later start is read.
/// Never returns.
pub(crate) async fn recheck_withheld(context: Rc<Context>) {
    loop {
        actix_rt::time::sleep(RECHECK_INTERVAL).await;
        let starts = context.engine_runs.to_ask().into_iter();
        let engines = starts.filter_map(|start| {
            let engine = EngineKey(start.engine);
            let fleet = context.fleet();
            let pool = &fleet
                .engine(engine)
                .filter(|_| is_withheld(&context, engine))?
                .pool;
            Some((pool.clone(), fleet.pool(pool).get(engine)?.clone()))
        });
        let engines: Vec<_> = engines.collect();
        let checks = engines
            .iter()
            .map(|(pool, engine)| ask_once(&context, pool, engine));
        stream::iter(checks)
            .buffer_unordered(MAX_CONCURRENT_RECHECKS)
            .for_each(|()| std::future::ready(()))
            .await;
    }
}
