//! How slow single engines are against usual ones of their pool.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use super::PaceKey;
use crate::figures::{SlownessFigures, WorkKind};
use crate::staged::EngineKey;

/// An observation counts for a third after this time: long against the moments for which engines that share their
/// machines are slow, and short enough that an engine which nobody uses is soon tried again.
const FADES_IN: Duration = Duration::from_secs(10);

/// Observations of a usual engine that count beside what was seen, so that one answer decides little.
const PRIOR_OBSERVATIONS: f32 = 2.0;

/// One observation tells of this factor at most: an answer that was held up for seconds is one answer.
const MOST_RATIO: f64 = 10.0;

/// Rows of fewer observations are not worth a place in a message.
const LEAST_WEIGHT: f32 = 0.05;

/// What is believed of an engine's slowness, and by what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BelievedSlowness {
    /// Time taken over that of a usual engine.
    pub slowness: f64,
    /// Observations of this node, those long ago counted less.
    pub own_weight: f32,
    /// Observations of all nodes.
    pub fleet_weight: f32,
}

impl Default for BelievedSlowness {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            own_weight: 0.0,
            fleet_weight: 0.0,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnRecord {
    figures: SlownessFigures,
    at: MonotonicTime,
}

impl OwnRecord {
    fn fade(&mut self, now: MonotonicTime) {
        let passed = now.since(self.at).as_secs_f64() / FADES_IN.as_secs_f64();
        let kept = (-passed).exp() as f32;
        self.figures.weight *= kept;
        self.figures.log_slowness *= kept;
        self.at = self.at.max(now);
    }
}

/// Slowness by engine and kind of work.
#[derive(Clone, Debug, Default)]
pub(super) struct SlownessBook {
    own: HashMap<(EngineKey, WorkKind), OwnRecord>,
    /// Of all nodes, this one among them.
    fleet: HashMap<(EngineKey, WorkKind), SlownessFigures>,
    /// Mean logarithm over the engines of each pool. Times of answers have long tails, so that it lies below that of
    /// the mean time: slowness is told against it.
    usual: HashMap<PaceKey, f32>,
}

/// What nodes have seen of one engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineRow {
    /// The engine.
    pub engine: EngineKey,
    /// Its pool, and the kind of work.
    pub pace: PaceKey,
    /// What was seen.
    pub figures: SlownessFigures,
}

impl SlownessBook {
    pub(super) fn believed(&self, engine: EngineKey, pace: PaceKey) -> BelievedSlowness {
        let key = (engine, pace.kind);
        let own = self.own.get(&key).map(|record| record.figures);
        let own = own.unwrap_or_default();
        let fleet = self.fleet.get(&key).copied().unwrap_or_default();
        // The fleet's sums have this node's in them, as they were some time ago.
        let mut heavier = if fleet.weight >= own.weight {
            fleet
        } else {
            own
        };
        let usual = self.usual.get(&pace).copied().unwrap_or_default();
        heavier.log_slowness -= heavier.weight * usual;
        BelievedSlowness {
            slowness: heavier.slowness(PRIOR_OBSERVATIONS),
            own_weight: own.weight,
            fleet_weight: fleet.weight,
        }
    }

    pub(super) fn observe(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        kind: WorkKind,
        ratio: f64,
        weight: f64,
    ) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let logarithm = ratio.clamp(1.0 / MOST_RATIO, MOST_RATIO).ln();
        let record = self.own.entry((engine, kind)).or_default();
        record.fade(now);
        record.figures.weight += weight as f32;
        record.figures.log_slowness += (weight * logarithm) as f32;
    }

    pub(super) fn own(
        &mut self,
        now: MonotonicTime,
    ) -> Vec<((EngineKey, WorkKind), SlownessFigures)> {
        self.own.retain(|_, record| {
            record.fade(now);
            record.figures.weight >= LEAST_WEIGHT
        });
        let own = self.own.iter();
        own.map(|(key, record)| (*key, record.figures)).collect()
    }

    pub(super) fn set_fleet(&mut self, rows: &[EngineRow]) {
        let mut sums: HashMap<PaceKey, SlownessFigures> = HashMap::new();
        for row in rows {
            *sums.entry(row.pace).or_default() += &row.figures;
        }
        let usual = sums.into_iter();
        self.usual = usual
            .map(|(pace, sum)| (pace, sum.log_slowness / sum.weight.max(f32::EPSILON)))
            .collect();
        let rows = rows.iter();
        self.fleet = rows
            .map(|row| ((row.engine, row.pace.kind), row.figures))
            .collect();
    }

    pub(super) fn forget(&mut self, engine: EngineKey) {
        for kind in [WorkKind::Prefill, WorkKind::Decode, WorkKind::Opaque] {
            self.own.remove(&(engine, kind));
            self.fleet.remove(&(engine, kind));
        }
    }
}
