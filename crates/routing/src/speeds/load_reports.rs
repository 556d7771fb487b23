//! What engines report of their own load in answers to this node.
//!
//! A report is exact when it is written and out of date soon: it counts by its age, beside what nodes count. Where
//! engines report nothing, what nodes count stands alone.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::{EngineLoadReport, MonotonicTime};

use crate::staged::EngineKey;

/// A report counts for a third after this time: reports change many times a second, and loads between nodes are
/// some tens of milliseconds old.
const FADES_IN: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct NotedReport {
    report: EngineLoadReport,
    at: MonotonicTime,
    /// Calls of this node since.
    sent_since: u32,
}

impl NotedReport {
    fn weight(&self, now: MonotonicTime) -> f64 {
        (-now.since(self.at).as_secs_f64() / FADES_IN.as_secs_f64()).exp()
    }
}

/// The last report of each engine.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadReports(HashMap<EngineKey, NotedReport>);

impl LoadReports {
    pub(super) fn note(&mut self, now: MonotonicTime, engine: EngineKey, report: EngineLoadReport) {
        let noted = NotedReport {
            report,
            at: now,
            sent_since: 0,
        };
        self.0.insert(engine, noted);
    }

    pub(super) fn sent(&mut self, engine: EngineKey) {
        if let Some(noted) = self.0.get_mut(&engine) {
            noted.sent_since = noted.sent_since.saturating_add(1);
        }
    }

    /// Requests at an engine, of which nodes count `known`.
    pub(super) fn requests(&self, now: MonotonicTime, engine: EngineKey, known: u32) -> f64 {
        let known = f64::from(known);
        let Some(noted) = self.0.get(&engine) else {
            return known;
        };
        let reported = noted.report.running.saturating_add(noted.report.waiting);
        let reported = f64::from(reported) + f64::from(noted.sent_since);
        known + (reported - known) * noted.weight(now)
    }

    /// The slowness now of an engine that has `always` as a rule, and `lately` by its last answers.
    pub(super) fn slowness(
        &self,
        now: MonotonicTime,
        engine: EngineKey,
        always: f64,
        lately: f64,
    ) -> f64 {
        let noted = self.0.get(&engine);
        let Some((noted, percent)) =
            noted.and_then(|noted| Some((noted, noted.report.work_time_percent?)))
        else {
            return lately;
        };
        let reported = always * f64::from(percent) / 100.0;
        lately + (reported - lately) * noted.weight(now)
    }

    pub(super) fn forget(&mut self, engine: EngineKey) {
        self.0.remove(&engine);
    }
}
