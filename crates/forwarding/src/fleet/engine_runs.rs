//! Whether an engine still runs the start that its entry describes.
//!
//! An engine may start again under its id and at its address, with other software, long before its new entry is read. Once
//! its run has ended, the version in the entry is that of no process: it is withheld until an entry of a later start, or
//! until the engine itself confirms the start.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

use dalestand_dissemination::EngineStart;
use dalestand_engine_link::LinkTarget;
use dalestand_routing::staged::EngineKey;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::SoftwareVersion;
use tokio::sync::Notify;

use crate::context::Context;
use crate::dissemination::notice_queue::{EngineNotice, NoticeSource};

/// What is known of the starts of engines that entries describe.
#[derive(Debug, Default)]
pub(crate) struct EngineRuns {
    runs: RefCell<HashMap<EngineKey, KnownRun>>,
    /// Engines that are being asked for their reports.
    pub(super) asked: RefCell<HashSet<EngineKey>>,
    /// Notified when an engine has been asked.
    pub(super) answered: Notify,
}

/// What is known of one start of an engine.
#[derive(Debug)]
struct KnownRun {
    started_at_ms: u64,
    state: RunState,
}

#[derive(Debug)]
enum RunState {
    /// The engine itself has said that it goes on.
    Confirmed,
    /// The engine doesn't say when it started, so that its entry is believed.
    Unreported,
    /// It has ended, or did not answer when asked.
    Withheld(WithheldVersion),
}

/// The version in an entry that may not describe the process at the engine's address.
#[derive(Debug)]
struct WithheldVersion {
    software: Option<SoftwareVersion>,
    /// Whether nothing listened at the engine's address.
    has_ended: bool,
    /// Whether the engine may say when it started.
    may_report: bool,
}

impl EngineRuns {
    fn with_run<T>(
        &self,
        start: EngineStart,
        access: impl FnOnce(&mut RunState) -> Option<T>,
    ) -> Option<T> {
        let mut runs = self.runs.borrow_mut();
        let run = runs.get_mut(&EngineKey(start.engine));
        let run = run.filter(|run| run.started_at_ms == start.started_at_ms);
        run.and_then(|run| access(&mut run.state))
    }

    fn set(&self, start: EngineStart, state: RunState) {
        let run = KnownRun {
            started_at_ms: start.started_at_ms,
            state,
        };
        self.runs.borrow_mut().insert(EngineKey(start.engine), run);
    }

    /// Whether nothing is known of this start.
    pub(super) fn is_unknown(&self, start: EngineStart) -> bool {
        self.with_run(start, |_| Some(())).is_none()
    }

    pub(super) fn is_confirmed(&self, start: EngineStart) -> bool {
        let confirmed = self.with_run(start, |state| {
            matches!(state, RunState::Confirmed).then_some(())
        });
        confirmed.is_some()
    }

    pub(super) fn is_unreported(&self, start: EngineStart) -> bool {
        let unreported = self.with_run(start, |state| {
            matches!(state, RunState::Unreported).then_some(())
        });
        unreported.is_some()
    }

    /// Records that the engine of a start has written its entry again: what is in doubt, but not known to have ended, goes on.
    pub(super) fn record_rewritten(&self, start: EngineStart) {
        let in_doubt = self.with_run(start, |state| match state {
            RunState::Withheld(version) if !version.has_ended => Some(()),
            _ => None,
        });
        if in_doubt.is_some() {
            self.forget(EngineKey(start.engine));
        }
    }

    fn is_withheld(&self, start: EngineStart) -> bool {
        let withheld = self.with_run(start, |state| {
            matches!(state, RunState::Withheld(_)).then_some(())
        });
        withheld.is_some()
    }

    /// Withholds the version in the entry of a start; returns whether it was not withheld before, or not for such a reason.
    fn withhold(
        &self,
        start: EngineStart,
        software: Option<SoftwareVersion>,
        has_ended: bool,
    ) -> bool {
        let known = self.with_run(start, |state| match state {
            RunState::Withheld(version) => {
                let is_new = has_ended && !version.has_ended;
                version.has_ended |= has_ended;
                Some(is_new)
            }
            _ => None,
        });
        if let Some(is_new) = known {
            return is_new;
        }
        let version = WithheldVersion {
            software,
            has_ended,
            may_report: !self.is_unreported(start),
        };
        self.set(start, RunState::Withheld(version));
        true
    }

    /// Keeps the version in the entry of a start while it is withheld; false if it is not.
    pub(crate) fn keep_withheld(&self, start: EngineStart, software: &SoftwareVersion) -> bool {
        let kept = self.with_run(start, |state| match state {
            RunState::Withheld(version) => {
                version.software = Some(software.clone());
                Some(())
            }
            _ => None,
        });
        kept.is_some()
    }

    /// Records that the engine has confirmed a start; returns the version that was withheld.
    pub(super) fn confirm(&self, start: EngineStart) -> Option<SoftwareVersion> {
        let software = self.with_run(start, |state| match state {
            RunState::Withheld(version) => version.software.take(),
            _ => None,
        });
        self.set(start, RunState::Confirmed);
        software
    }

    /// Records that the engine does not say when it started.
    pub(super) fn record_unreported(&self, start: EngineStart) {
        let withheld = self.with_run(start, |state| match state {
            RunState::Withheld(version) => {
                version.may_report = false;
                Some(())
            }
            _ => None,
        });
        if withheld.is_none() {
            self.set(start, RunState::Unreported);
        }
    }

    /// Records that a connection to the engine ended as it does when a process ends. The engine may have started again.
    pub(crate) fn doubt(&self, engine: EngineKey) {
        let mut runs = self.runs.borrow_mut();
        let run = runs.get(&engine);
        if run.is_some_and(|run| matches!(run.state, RunState::Confirmed)) {
            runs.remove(&engine);
        }
    }

    /// Forgets an engine that is no longer listed.
    pub(crate) fn forget(&self, engine: EngineKey) {
        self.runs.borrow_mut().remove(&engine);
    }

    /// The starts for which `is_wanted` holds, given whether they have ended and whether the engine may report them.
    fn withheld(&self, is_wanted: impl Fn(&WithheldVersion) -> bool) -> Vec<EngineStart> {
        let runs = self.runs.borrow();
        let withheld = runs.iter().filter(|(_, run)| match &run.state {
            RunState::Withheld(version) => is_wanted(version),
            RunState::Confirmed | RunState::Unreported => false,
        });
        let starts = withheld.map(|(engine, run)| EngineStart {
            engine: engine.0,
            started_at_ms: run.started_at_ms,
        });
        starts.collect()
    }

    /// Withheld starts that their engines may still confirm.
    pub(super) fn to_ask(&self) -> Vec<EngineStart> {
        self.withheld(|version| version.may_report)
    }

    /// Starts that have ended.
    pub(crate) fn ended(&self) -> Vec<EngineStart> {
        self.withheld(|version| version.has_ended)
    }
}

/// The known start of an engine; `None` if its start time is not known. Then each start has an id of its own.
pub(crate) fn known_start(context: &Context, engine: EngineKey) -> Option<EngineStart> {
    let started_at_ms = context.router.borrow().signals.started_at_ms(engine);
    let start = EngineStart {
        engine: engine.0,
        started_at_ms,
    };
    Some(start).filter(|start| start.started_at_ms > 0)
}

/// Whether the version in the engine's entry is withheld.
pub(crate) fn is_withheld(context: &Context, engine: EngineKey) -> bool {
    let start = known_start(context, engine);
    start.is_some_and(|start| context.engine_runs.is_withheld(start))
}

/// Records that nothing listens at `target` any more, unless the engine is known to have started again since.
pub(crate) fn record_no_listener(context: &Context, engine: EngineKey, target: &LinkTarget) {
    if let Some(start) = current_start(context, engine, target) {
        apply_end(context, start, NoticeSource::OwnAnswer);
    }
}

/// Records that a call to `target` broke off and a new connection was refused, which no other node confirms. Its run may
/// have ended.
pub(crate) fn record_refused(context: &Context, engine: EngineKey, target: &LinkTarget) {
    if let Some(start) = current_start(context, engine, target) {
        withhold(context, start, false, NoticeSource::OwnAnswer);
    }
}

/// The start that `target` is for, if that is the known one.
fn current_start(context: &Context, engine: EngineKey, target: &LinkTarget) -> Option<EngineStart> {
    let fleet = context.fleet();
    let known = fleet.engine(engine)?;
    known_start(context, engine).filter(|_| known.target() == *target)
}

/// Applies that a start of an engine has ended, as this or another node has found.
pub(crate) fn apply_end(context: &Context, start: EngineStart, source: NoticeSource) {
    if known_start(context, EngineKey(start.engine)) != Some(start) {
        return;
    }
    if withhold(context, start, true, source) {
        let notices = &context.dissemination.notices;
        notices.push(EngineNotice::Ended(start), source);
    }
}

/// Withholds the version in the entry of a start; returns whether it was not withheld before, or not for such a reason.
pub(super) fn withhold(
    context: &Context,
    start: EngineStart,
    has_ended: bool,
    source: NoticeSource,
) -> bool {
    let engine = EngineKey(start.engine);
    let software = context.engine_versions().software(engine).cloned();
    let version = software.as_ref().map(SoftwareVersion::to_string);
    if !context.engine_runs.withhold(start, software, has_ended) {
        return false;
    }
    context.forget_software(engine);
    let fleet = context.fleet();
    let name = fleet.engine(engine).map(|known| &*known.run);
    log_event!(context.logger, Event::EngineVersionWithheld, "engine" => name.unwrap_or_default(),
        "born" => start.started_at_ms, "software" => version, "ended" => has_ended, "source" => ?source);
    true
}
