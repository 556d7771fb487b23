//! Watches how a call to an engine ends, wherever that is: before the head, in a gathered answer, in
//! a relayed stream, in a prefill, in a resumed run, or because nobody waits any more.

use std::rc::Rc;
use std::sync::Arc;

use dalestand_engine_link::ResponseBody;
use dalestand_quarantine::{EngineRunId, RequestFingerprint};
use dalestand_routing::staged::StagedEngine;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::quarantine::engine_end::check_listener;
use crate::quarantine::engine_runs::engine_run;
use crate::quarantine::evidence::{attribute, completed};
use crate::serve::progress::Progress;

/// How a call ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unfinished {
    /// The connection ended before the head.
    NoAnswer,
    /// The answer broke off.
    BrokenOff,
    /// Nothing came in time.
    Silent,
    /// The caller left, or the request's time was over.
    Left,
}

/// A call that an engine may have begun, until it is known how it ended.
pub(crate) struct RunWatch {
    context: Rc<Context>,
    engine: StagedEngine,
    /// The engine's run when the call was made.
    run: EngineRunId,
    pool: PoolName,
    request: Option<Arc<str>>,
    fingerprint: Option<RequestFingerprint>,
    is_over: bool,
}

impl RunWatch {
    /// Watches a call that is about to be made.
    pub(crate) fn new(
        context: &Rc<Context>,
        progress: &Progress,
        engine: &StagedEngine,
        pool: &PoolName,
    ) -> Self {
        let run = engine_run(context, engine.key);
        let unfinished = context.quarantine.unfinished.borrow();
        Self {
            context: Rc::clone(context),
            engine: engine.clone(),
            pool: pool.clone(),
            request: progress.facts.id.clone(),
            fingerprint: progress.fingerprint,
            // What is sent to an engine that has ended cannot be what ended it.
            is_over: unfinished.has_ended(run),
            run,
        }
    }

    /// Notes that the engine did not take the request up, or that its answer is over.
    pub(crate) fn over(&mut self) {
        self.is_over = true;
    }

    /// Notes that the engine answered in whole. Only an answer that says where it ends tells: one
    /// without a length ends as well where its engine does.
    pub(crate) fn answered(&mut self, body: &ResponseBody) {
        self.is_over = true;
        if let Some(fingerprint) = self.fingerprint.filter(|_| body.is_self_delimited()) {
            completed(&self.context, fingerprint);
        }
    }

    /// Notes that no whole answer comes any more.
    pub(crate) fn unfinished(&mut self, how: Unfinished) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let Some(fingerprint) = self.fingerprint else {
            return;
        };
        let context = &self.context;
        // Callers leave all the time.
        if how != Unfinished::Left {
            log_event!(context.logger, Event::RunUnfinished,
                "request" => self.request.as_deref().unwrap_or_default(),
                "fingerprint" => %fingerprint, "engine" => &*self.engine.run, "how" => ?how);
        }
        let run = self.run;
        let mut runs = context.quarantine.unfinished.borrow_mut();
        let has_ended = runs.record_unfinished(context.now(), run, fingerprint);
        drop(runs);
        if has_ended {
            attribute(context, &self.engine.run, run, fingerprint);
        } else if matches!(how, Unfinished::NoAnswer | Unfinished::BrokenOff) {
            check_listener(context, &self.pool, &self.engine);
        }
    }
}

impl Drop for RunWatch {
    fn drop(&mut self) {
        self.unfinished(Unfinished::Left);
    }
}
