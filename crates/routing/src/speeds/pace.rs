//! How long usual engines of a pool take, by the prompt tokens that they prefill.

use std::collections::HashMap;

use crate::figures::{FitSums, WorkKind};
use crate::learning::LinearFit;
use crate::staged::PoolKey;

/// Assumed until it is learnt: time of a prefill without tokens, in seconds.
const PRIOR_START_S: f64 = 8e-3;

/// Assumed until it is learnt: time of one token, in seconds.
const PRIOR_TOKEN_S: f64 = 20e-6;

/// Tokens over which the assumption is spread.
const PRIOR_SPAN_TOKENS: f64 = 8_000.0;

/// Observations from which on a pace is relied upon as the measure of single engines.
const RELIED_ON_FROM: f64 = 8.0;

/// Names a pool's pace at one kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PaceKey {
    /// The pool.
    pub pool: PoolKey,
    /// The kind of work.
    pub kind: WorkKind,
}

/// Paces of pools.
#[derive(Clone, Debug, Default)]
pub(super) struct Paces {
    own: HashMap<PaceKey, FitSums>,
    /// Of all nodes, this one among them.
    fleet: HashMap<PaceKey, FitSums>,
}

impl Paces {
    /// Expected seconds at a usual engine; 0 for opaque work of which nothing is known.
    pub(super) fn usual_s(&self, key: PaceKey, tokens: f64) -> f64 {
        LinearFit::learnt(self.sums(key), prior(key.kind)).at(tokens)
    }

    /// How far the pace is relied upon, from 0 to 1.
    pub(super) fn confidence(&self, key: PaceKey) -> f64 {
        (self.sums(key).weight / RELIED_ON_FROM).min(1.0)
    }

    pub(super) fn observe(&mut self, key: PaceKey, tokens: f64, seen_s: f64) {
        self.own.entry(key).or_default().observe(tokens, seen_s);
    }

    pub(super) fn own(&self) -> impl Iterator<Item = (PaceKey, FitSums)> {
        self.own.iter().map(|(key, sums)| (*key, *sums))
    }

    pub(super) fn set_fleet(&mut self, rows: impl IntoIterator<Item = (PaceKey, FitSums)>) {
        self.fleet = rows.into_iter().collect();
    }

    /// The fleet's sums have this node's in them, as they were some time ago.
    fn sums(&self, key: PaceKey) -> FitSums {
        let own = self.own.get(&key).copied().unwrap_or_default();
        let fleet = self.fleet.get(&key).copied().unwrap_or_default();
        if fleet.weight >= own.weight {
            fleet
        } else {
            own
        }
    }
}

fn prior(kind: WorkKind) -> LinearFit {
    match kind {
        WorkKind::Prefill | WorkKind::Decode => {
            LinearFit::prior(PRIOR_START_S, PRIOR_TOKEN_S, PRIOR_SPAN_TOKENS)
        }
        WorkKind::Opaque => LinearFit::default(),
    }
}
