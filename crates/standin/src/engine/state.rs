//! State of one incarnation of the simulated engine.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use dalestand_types::{
    AttemptId, EngineId, EngineLoad, GenerationFrame, GenerationRequest, Incarnation,
    MonotonicTime, RefusalReason, Role, Sequence,
};
use tokio::sync::Notify;

use super::batch::{Batch, BatchSettings, StepOutput};
use super::delayed_reports::DelayedReports;
use super::exports::CacheExports;
use super::faults::EngineFaults;
use super::frame_sender::FrameSender;
use super::log::{EngineLogs, RunLogEntry, RunLogEvent};
use super::orders::EngineOrderState;

/// Settings of one engine incarnation.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Engine id.
    pub engine: EngineId,
    /// Incarnation, which tells restarts of an engine apart.
    pub incarnation: Incarnation,
    /// Initial role.
    pub role: Role,
    /// Step costs and limits of the batch.
    pub batch: BatchSettings,
    /// Duration of a role change after the engine is drained.
    pub role_change_time: Duration,
    /// Duration of loading a model or an adapter.
    pub load_time: Duration,
    /// Whether log entries are also printed to stdout, one JSON object per line.
    pub log_to_stdout: bool,
}

pub(super) struct Engine {
    pub(super) settings: EngineSettings,
    pub(super) started: Instant,
    pub(super) batch: RefCell<Batch>,
    pub(super) orders: RefCell<EngineOrderState>,
    pub(super) streams: RefCell<HashMap<AttemptId, FrameSender>>,
    pub(super) attempts: RefCell<HashSet<AttemptId>>,
    pub(super) once_keys: RefCell<HashSet<String>>,
    pub(super) exports: RefCell<CacheExports>,
    pub(super) delayed_loads: RefCell<DelayedReports<EngineLoad>>,
    pub(super) delayed_events: RefCell<DelayedReports<Sequence>>,
    pub(super) logs: EngineLogs,
    pub(super) faults: RefCell<EngineFaults>,
    pub(super) report_count: RefCell<u64>,
    pub(super) work_available: Notify,
    pub(super) order_accepted: Notify,
}

impl Engine {
    pub(super) fn new(settings: EngineSettings) -> Self {
        Self {
            started: Instant::now(),
            batch: RefCell::new(Batch::new(settings.batch.clone())),
            orders: RefCell::new(EngineOrderState::new(settings.incarnation, settings.role)),
            streams: RefCell::default(),
            attempts: RefCell::default(),
            once_keys: RefCell::default(),
            exports: RefCell::default(),
            delayed_loads: RefCell::default(),
            delayed_events: RefCell::default(),
            logs: EngineLogs::new(
                settings.engine.clone(),
                settings.incarnation,
                settings.log_to_stdout,
            ),
            faults: RefCell::default(),
            report_count: RefCell::default(),
            work_available: Notify::new(),
            order_accepted: Notify::new(),
            settings,
        }
    }

    pub(super) fn elapsed_micros(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    pub(super) fn now(&self) -> MonotonicTime {
        MonotonicTime(self.elapsed_micros())
    }

    pub(super) fn log_run(&self, request: &GenerationRequest, event: RunLogEvent) {
        self.logs.push_run(RunLogEntry {
            at_micros: self.elapsed_micros(),
            request: request.request,
            attempt: request.attempt,
            once_key: request.once_key.clone(),
            event,
        });
    }

    pub(super) fn log_output(&self, output: &StepOutput) {
        let (attempt, event) = match &output.frame {
            GenerationFrame::Token {
                attempt,
                position: 0,
                ..
            } => (*attempt, RunLogEvent::Started),
            GenerationFrame::Finished {
                attempt, tokens, ..
            } => (*attempt, RunLogEvent::Finished { tokens: *tokens }),
            GenerationFrame::Prefilled { attempt, .. } => {
                (*attempt, RunLogEvent::Finished { tokens: 0 })
            }
            _ => return,
        };
        self.logs.push_run(RunLogEntry {
            at_micros: self.elapsed_micros(),
            request: output.request,
            attempt,
            once_key: output.once_key.clone(),
            event,
        });
    }

    /// Why the engine rejects a request; `None` if it accepts it.
    pub(super) fn refusal(&self, request: &GenerationRequest) -> Option<RefusalReason> {
        let orders = self.orders.borrow();
        let other_incarnation = request
            .incarnation
            .is_some_and(|incarnation| incarnation != self.settings.incarnation);
        if other_incarnation {
            return Some(RefusalReason::OtherIncarnation);
        }
        let repeated_key = request
            .once_key
            .as_ref()
            .is_some_and(|key| self.once_keys.borrow().contains(key));
        if repeated_key || self.attempts.borrow().contains(&request.attempt) {
            return Some(RefusalReason::AlreadyRun);
        }
        let Some(role) = orders.state().role else {
            return Some(RefusalReason::OutOfService);
        };
        if orders.is_changing_role() {
            return Some(RefusalReason::OutOfService);
        }
        let needs_prefill = request.import_from.is_none();
        let needs_decode = !request.prefill_only;
        if (needs_prefill && !role.runs_prefill()) || (needs_decode && !role.runs_decode()) {
            return Some(RefusalReason::WrongRole);
        }
        if !orders.serves(&request.model, request.adapter.as_ref()) {
            return Some(RefusalReason::NotLoaded);
        }
        if !self.batch.borrow().has_capacity() {
            return Some(RefusalReason::Full);
        }
        None
    }

    /// The load report that callers see, delayed by the configured lag.
    pub(super) fn visible_load_report(&self) -> EngineLoad {
        let lag = Duration::from_millis(self.faults.borrow().load_lag_ms);
        let report = self.load_report();
        self.delayed_loads
            .borrow_mut()
            .push(self.now(), lag, report)
    }

    pub(super) fn load_report(&self) -> EngineLoad {
        let mut report_count = self.report_count.borrow_mut();
        *report_count += 1;
        let orders = self.orders.borrow();
        let batch = self.batch.borrow();
        let counters = batch.counters();
        EngineLoad {
            engine: self.settings.engine.clone(),
            incarnation: self.settings.incarnation,
            sequence: Sequence(*report_count),
            role: if orders.is_changing_role() {
                None
            } else {
                orders.state().role
            },
            running: batch.running(),
            waiting: batch.waiting(),
            queued_prefill_tokens: batch.queued_prefill_tokens(),
            capacity: self.settings.batch.capacity,
            cache_tokens_used: batch.cache().tokens() + self.exports.borrow().tokens(self.now()),
            cache_tokens_total: self.settings.batch.cache_tokens,
            prefill_tokens_total: counters.prefill_tokens,
            decode_tokens_total: counters.decode_tokens,
            models: orders.state().models.clone(),
        }
    }
}
