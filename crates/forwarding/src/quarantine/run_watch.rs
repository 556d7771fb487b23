//! Tracks how a call to an engine ends, wherever it ends: before the response head, in a buffered
//! or streamed body, in a prefill or a resumed run, or because the request is dropped.

use std::rc::Rc;
use std::sync::Arc;

use actix_http::StatusCode;
use dalestand_quarantine::{EngineRunId, PartFingerprint, UnfinishedRequest};
use dalestand_routing::staged::StagedEngine;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{MonotonicTime, PoolName};

use crate::context::Context;
use crate::quarantine::engine_end::spawn_listener_check;
use crate::quarantine::engine_run_id::engine_run_id;
use crate::quarantine::evidence::{attribute_crash, record_completion};
use crate::quarantine::parts::evidence::record_part_completions;
use crate::serve::progress::Progress;

/// Maximum number of prompt parts of a request in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Why a call ended without a complete answer. Logged by `Debug`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnfinishedReason {
    /// The connection closed before the response head.
    NoAnswer,
    /// The response body broke off.
    BrokenOff,
    /// The connection ended inside an event of a stream, and nothing else marks the stream's end.
    InsideEvent {
        /// Bytes received of that event.
        pending_bytes: usize,
    },
    /// The engine was silent for too long.
    Silent,
    /// The caller disconnected, or the request's time limit was reached.
    Left,
}

/// A call that an engine may have started to run, until its outcome is known.
pub(crate) struct RunWatch {
    context: Rc<Context>,
    engine: StagedEngine,
    /// The engine run to which the call was made.
    run: EngineRunId,
    pool: PoolName,
    request: Option<Arc<str>>,
    /// `None` until the fleet's key is loaded: crashes can't be attributed then.
    run_request: Option<UnfinishedRequest>,
    began_at: MonotonicTime,
    /// Whether it is recorded as unfinished because the engine is silent, though it may still go on.
    is_silent: bool,
    is_over: bool,
}

impl RunWatch {
    /// Starts tracking a call that is about to be sent.
    pub(crate) fn new(
        context: &Rc<Context>,
        progress: &Progress,
        engine: &StagedEngine,
        pool: &PoolName,
    ) -> Self {
        let run = engine_run_id(context, engine.key);
        let unfinished = context.quarantine.unfinished.borrow();
        Self {
            context: Rc::clone(context),
            engine: engine.clone(),
            pool: pool.clone(),
            request: progress.facts.id.clone(),
            run_request: progress.fingerprint.map(|fingerprint| UnfinishedRequest {
                fingerprint,
                shared_parts: Rc::clone(&progress.shared_parts),
                is_part_trial: progress.is_part_trial(),
            }),
            began_at: context.evidence_time(),
            is_silent: false,
            // The engine run had ended before, so this call cannot have crashed it.
            is_over: unfinished.has_ended(run),
            run,
        }
    }

    /// Stops tracking, because the engine did not run the request or its answer is complete.
    pub(crate) fn dismiss(&mut self) {
        self.is_over = true;
        self.withdraw_silence();
    }

    /// Records that the engine has fallen silent. It may have crashed, or go on with the run.
    pub(crate) fn record_silence(&mut self) {
        let Some(request) = &self.run_request else {
            return;
        };
        if self.is_over || std::mem::replace(&mut self.is_silent, true) {
            return;
        }
        self.log_unfinished(request, UnfinishedReason::Silent);
        let (context, run) = (&self.context, self.run);
        let mut runs = context.quarantine.unfinished.borrow_mut();
        let has_ended = runs.record_unfinished(context.evidence_time(), run, request.clone());
        drop(runs);
        if has_ended {
            attribute_crash(context, &self.engine.run, run, request);
            self.is_over = true;
        }
    }

    /// Records that the engine goes on with the run.
    pub(crate) fn withdraw_silence(&mut self) {
        if !std::mem::replace(&mut self.is_silent, false) {
            return;
        }
        if let Some(request) = &self.run_request {
            let mut runs = self.context.quarantine.unfinished.borrow_mut();
            runs.withdraw(self.run, request);
        }
    }

    /// Records a complete answer.
    pub(crate) fn record_answer(&mut self, status: StatusCode) {
        self.is_over = true;
        self.withdraw_silence();
        let Some(request) = &self.run_request else {
            return;
        };
        record_completion(&self.context, request.fingerprint);
        // An engine may report an error without running the request.
        if status.is_success() {
            record_part_completions(&self.context, &request.shared_parts, self.began_at);
        }
    }

    /// Records that the call ended without a complete answer.
    pub(crate) fn record_unfinished(&mut self, reason: UnfinishedReason) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let was_silent = self.is_silent;
        // Recorded anew below, as of now.
        self.withdraw_silence();
        let Some(request) = self.run_request.take() else {
            return;
        };
        let context = &self.context;
        let is_logged = was_silent && reason == UnfinishedReason::Silent;
        // Callers disconnect too often for this to be logged.
        if reason != UnfinishedReason::Left && !is_logged {
            self.log_unfinished(&request, reason);
        }
        let run = self.run;
        let mut runs = context.quarantine.unfinished.borrow_mut();
        let has_ended = runs.record_unfinished(context.evidence_time(), run, request.clone());
        drop(runs);
        if has_ended {
            attribute_crash(context, &self.engine.run, run, &request);
        } else if matches!(
            reason,
            UnfinishedReason::NoAnswer
                | UnfinishedReason::BrokenOff
                | UnfinishedReason::InsideEvent { .. }
        ) {
            spawn_listener_check(context, &self.pool, &self.engine);
        }
    }

    fn log_unfinished(&self, request: &UnfinishedRequest, reason: UnfinishedReason) {
        log_event!(self.context.logger, Event::RunUnfinished,
            "request" => self.request.as_deref().unwrap_or_default(),
            "fingerprint" => %request.fingerprint,
            "parts" => list_parts(&request.shared_parts),
            "engine" => &*self.engine.run, "how" => ?reason);
    }
}

/// The first prompt parts of a request for a log line, in order.
fn list_parts(parts: &[PartFingerprint]) -> String {
    let parts = parts.iter().take(MAX_LOGGED_PARTS);
    let parts: Vec<String> = parts.map(PartFingerprint::to_string).collect();
    parts.join(" ")
}

impl Drop for RunWatch {
    fn drop(&mut self) {
        self.record_unfinished(UnfinishedReason::Left);
    }
}
