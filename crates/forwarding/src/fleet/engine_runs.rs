//! Whether an engine still runs the start that its entry describes.
//!
//! An engine may start again under its id and at its address, with other software, long before its new entry is read. Once
//! its run has ended, the version in the entry is that of no process: it is withheld until an entry of a later start.

use std::cell::RefCell;
use std::collections::HashMap;

use dalestand_dissemination::EngineStart;
use dalestand_engine_link::LinkTarget;
use dalestand_routing::staged::EngineKey;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::SoftwareVersion;

use crate::context::Context;
use crate::dissemination::notice_queue::{EngineNotice, NoticeSource};

/// Starts of engines whose runs have ended, by engine.
#[derive(Debug, Default)]
pub(crate) struct EngineRuns {
    ended: RefCell<HashMap<EngineKey, EndedRun>>,
}

/// A run that has ended, as far as this node knows.
#[derive(Debug)]
struct EndedRun {
    started_at_ms: u64,
    /// The version in its entry.
    software: Option<SoftwareVersion>,
}

impl EngineRuns {
    /// Whether this start of the engine has ended, so that nothing is known of what listens at its address.
    pub(crate) fn has_ended(&self, engine: EngineKey, started_at_ms: u64) -> bool {
        let ended = self.ended.borrow();
        ended
            .get(&engine)
            .is_some_and(|run| run.started_at_ms == started_at_ms)
    }

    /// Records the end of a start, and the version in its entry; returns whether it is new.
    fn end(
        &self,
        engine: EngineKey,
        started_at_ms: u64,
        software: Option<SoftwareVersion>,
    ) -> bool {
        if self.has_ended(engine, started_at_ms) {
            return false;
        }
        let run = EndedRun {
            started_at_ms,
            software,
        };
        self.ended.borrow_mut().insert(engine, run);
        true
    }

    /// Keeps the version in the entry of an ended start; false if that start goes on.
    pub(crate) fn withhold(
        &self,
        engine: EngineKey,
        started_at_ms: u64,
        software: &SoftwareVersion,
    ) -> bool {
        let mut ended = self.ended.borrow_mut();
        match ended.get_mut(&engine) {
            Some(run) if run.started_at_ms == started_at_ms => {
                run.software = Some(software.clone());
                true
            }
            _ => false,
        }
    }

    /// Forgets an engine that is no longer listed.
    pub(crate) fn forget(&self, engine: EngineKey) {
        self.ended.borrow_mut().remove(&engine);
    }
}

/// Whether the version in the engine's entry is withheld, because the run that had it has ended.
pub(crate) fn is_withheld(context: &Context, engine: EngineKey) -> bool {
    let started_at_ms = context.router.borrow().signals.started_at_ms(engine);
    context.engine_runs.has_ended(engine, started_at_ms)
}

/// Records that nothing listens at `target` any more, unless the engine is known to have started again since.
pub(crate) fn record_no_listener(context: &Context, engine: EngineKey, target: &LinkTarget) {
    let started_at_ms = {
        let fleet = context.fleet();
        let known = fleet.engine(engine).filter(|one| one.target() == *target);
        known.and_then(|known| known.started_at_ms)
    };
    // Without a start time, each start has an id of its own, which calls name.
    if let Some(started_at_ms) = started_at_ms {
        let start = EngineStart {
            engine: engine.0,
            started_at_ms,
        };
        apply_end(context, start, NoticeSource::OwnAnswer);
    }
}

/// Applies that a start of an engine has ended, as this or another node has found.
pub(crate) fn apply_end(context: &Context, start: EngineStart, source: NoticeSource) {
    let (engine, started_at_ms) = (EngineKey(start.engine), start.started_at_ms);
    let known_start = context.router.borrow().signals.started_at_ms(engine);
    if started_at_ms == 0 || started_at_ms != known_start {
        return;
    }
    let software = context.software_of(engine);
    let version = software.as_ref().map(SoftwareVersion::to_string);
    if !context.engine_runs.end(engine, started_at_ms, software) {
        return;
    }
    context.forget_software(engine);
    let fleet = context.fleet();
    let name = fleet.engine(engine).map(|known| &*known.run);
    log_event!(context.logger, Event::EngineVersionWithheld, "engine" => name.unwrap_or_default(),
        "born" => started_at_ms, "software" => version, "source" => ?source);
    let notices = &context.dissemination.notices;
    notices.push(EngineNotice::Ended(start), source);
}
