//! How fast engines work, learnt by all nodes together.
//!
//! The load it answers: engines of one pool differ by a factor of two and more, and a node of a large fleet hears
//! from each of them once in seconds. What a request takes is the pace of its pool, a line through times by prompt
//! tokens, times the slowness of the engine's incarnation. Both are sums that add up over all nodes, so that a node
//! that has just started knows what all others have seen. An engine of which nothing is known is a usual one.

mod load_reports;
mod pace;
mod recent;
mod slowness;

use std::time::Duration;

use dalestand_types::{EngineLoadReport, MonotonicTime};

pub use pace::PaceKey;
pub use slowness::{BelievedSlowness, EngineRow};

use self::load_reports::LoadReports;
use self::pace::Paces;
use self::recent::RecentTimes;
use self::slowness::SlownessBook;
use crate::figures::{FitSums, SlownessFigures, WorkKind};
use crate::staged::{EngineKey, PoolKey, Stage};

/// A decode engine prefills prompts at this multiple of a prefill engine's time.
const DECODE_PREFILL_FACTOR: f64 = 2.0;

/// Time of an opaque request where none of the pool is known, in seconds.
const PRIOR_OPAQUE_S: f64 = 30e-3;

impl From<Stage> for WorkKind {
    fn from(stage: Stage) -> Self {
        match stage {
            Stage::Prefill => Self::Prefill,
            Stage::Decode => Self::Decode,
            Stage::Opaque => Self::Opaque,
        }
    }
}

/// Speeds of engines as this node believes them.
#[derive(Clone, Debug, Default)]
pub struct EngineSpeeds {
    paces: Paces,
    slowness: SlownessBook,
    recent: RecentTimes,
    reports: LoadReports,
}

impl EngineSpeeds {
    /// Expected seconds until an engine has prefilled `tokens`, with those queued before.
    pub fn expected_s(&self, pool: PoolKey, engine: EngineKey, stage: Stage, tokens: f64) -> f64 {
        self.usual_s(pool, stage, tokens) * self.slowness(pool, engine, stage)
    }

    /// The same at an engine of usual speed.
    pub fn usual_s(&self, pool: PoolKey, stage: Stage, tokens: f64) -> f64 {
        let (kind, factor) = match stage {
            Stage::Prefill => (WorkKind::Prefill, 1.0),
            Stage::Decode => (WorkKind::Prefill, DECODE_PREFILL_FACTOR),
            Stage::Opaque => (WorkKind::Opaque, 1.0),
        };
        self.paces.usual_s(PaceKey { pool, kind }, tokens) * factor
    }

    /// Expected seconds of an opaque request at a usual engine.
    pub fn usual_opaque_s(&self, pool: PoolKey) -> f64 {
        let kind = WorkKind::Opaque;
        let usual_s = self.paces.usual_s(PaceKey { pool, kind }, 0.0);
        if usual_s > 0.0 {
            usual_s
        } else {
            PRIOR_OPAQUE_S
        }
    }

    /// The time that an engine takes, over that of a usual one.
    pub fn slowness(&self, pool: PoolKey, engine: EngineKey, stage: Stage) -> f64 {
        self.believed(pool, engine, stage).slowness
    }

    /// The same with where it was learnt.
    pub fn believed(&self, pool: PoolKey, engine: EngineKey, stage: Stage) -> BelievedSlowness {
        let kind = WorkKind::from(stage);
        self.slowness.believed(engine, PaceKey { pool, kind })
    }

    /// How slow an engine is with opaque requests now: as always, or as it was a moment ago.
    pub fn opaque_slowness(&self, now: MonotonicTime, pool: PoolKey, engine: EngineKey) -> f64 {
        let always = self.slowness(pool, engine, Stage::Opaque);
        let lately = self.recent.slowness(now, engine, always);
        self.reports.slowness(now, engine, always, lately)
    }

    /// Requests at an engine, of which `known` were counted by nodes.
    pub fn requests(&self, now: MonotonicTime, engine: EngineKey, known: u32) -> f64 {
        self.reports.requests(now, engine, known)
    }

    /// Notes that an engine prefilled: `tokens` with those queued before, in `seen_s`. The pace is learnt from
    /// engines that do nothing else.
    pub fn observe(
        &mut self,
        now: MonotonicTime,
        pool: PoolKey,
        engine: EngineKey,
        stage: Stage,
        tokens: f64,
        seen_s: f64,
    ) {
        if !is_time(seen_s) {
            return;
        }
        let kind = WorkKind::from(stage);
        let key = PaceKey { pool, kind };
        let ratio = seen_s / self.usual_s(pool, stage, tokens);
        let relied_on = match kind {
            WorkKind::Decode => PaceKey {
                pool,
                kind: WorkKind::Prefill,
            },
            WorkKind::Prefill | WorkKind::Opaque => key,
        };
        let sure = self.paces.confidence(relied_on);
        self.slowness.observe(now, engine, kind, ratio, sure);
        if kind != WorkKind::Decode {
            self.paces.observe(key, tokens, seen_s);
        }
    }

    /// Notes that an engine took `ratio` times what was expected of a usual one.
    pub fn observe_ratio(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        stage: Stage,
        ratio: f64,
    ) {
        self.slowness.observe(now, engine, stage.into(), ratio, 1.0);
    }

    /// Notes that an engine answered an opaque request after `took`.
    pub fn observe_opaque(
        &mut self,
        now: MonotonicTime,
        pool: PoolKey,
        engine: EngineKey,
        took: Duration,
    ) {
        let usual_s = self.usual_opaque_s(pool);
        self.observe(now, pool, engine, Stage::Opaque, 0.0, took.as_secs_f64());
        self.recent.note(now, engine, took.as_secs_f64() / usual_s);
    }

    /// Notes what an engine reports of its load in an answer.
    pub fn note_report(&mut self, now: MonotonicTime, engine: EngineKey, report: EngineLoadReport) {
        self.reports.note(now, engine, report);
    }

    /// Notes a call of this node that an engine's next report has in it.
    pub fn sent(&mut self, engine: EngineKey) {
        self.reports.sent(engine);
    }

    /// This node's observations of engines, each counted less the longer ago it was.
    pub fn own_slowness(
        &mut self,
        now: MonotonicTime,
    ) -> Vec<((EngineKey, WorkKind), SlownessFigures)> {
        self.slowness.own(now)
    }

    /// This node's observations of pools.
    pub fn own_paces(&self) -> impl Iterator<Item = (PaceKey, FitSums)> {
        self.paces.own()
    }

    /// Replaces what all nodes together have seen of engines.
    pub fn set_fleet_slowness(&mut self, rows: &[EngineRow]) {
        self.slowness.set_fleet(rows);
    }

    /// Replaces what all nodes together have seen of pools.
    pub fn set_fleet_paces(&mut self, rows: impl IntoIterator<Item = (PaceKey, FitSums)>) {
        self.paces.set_fleet(rows);
    }

    /// Forgets an engine that is gone or has started again.
    pub fn forget(&mut self, engine: EngineKey) {
        self.slowness.forget(engine);
        self.recent.forget(engine);
        self.reports.forget(engine);
    }
}

fn is_time(seconds: f64) -> bool {
    seconds.is_finite() && seconds > 0.0
}
