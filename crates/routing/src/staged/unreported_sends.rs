//! Estimate of the requests that other nodes have sent to engines since their last reports.
//!
//! Nodes that see the same load reports would all choose the same engine until the next report. Each
//! node therefore draws, for each engine, a random number of requests that other nodes may have sent
//! there meanwhile. Draws of different nodes differ, so choices spread out; the older the reports, the
//! wider the spread. A single node, or a node with fresh reports, draws zero.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::MonotonicTime;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::{EngineKey, EngineWork, Stage};
use crate::prefix::rendezvous_weight;

/// Time constant of the moving average of this node's send rate. Spans some tens of sends, and is
/// shorter than typical bursts of demand.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Maximum number of requests drawn for one engine; an engine with that many more is not chosen anyway.
const MAX_DRAWN_REQUESTS: u32 = 30;

/// Exponentially decaying count of this node's sends to the engines of one stage.
#[derive(Clone, Copy, Debug, Default)]
struct OwnSends {
    updated_at: MonotonicTime,
    /// Number of sends, decayed to `updated_at`.
    count: f64,
    /// Tokens of these sends that were left to prefill, decayed to `updated_at`.
    tokens: f64,
}

impl OwnSends {
    fn decay(&mut self, now: MonotonicTime) {
        let factor =
            (-now.since(self.updated_at).as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64()).exp();
        self.count *= factor;
        self.tokens *= factor;
        self.updated_at = now;
    }
}

/// Estimate of the requests that other nodes sent to one engine of a stage since their last reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedSends {
    /// Expected number of requests.
    pub mean: f64,
    /// Mean number of prompt tokens that each of them leaves to prefill.
    pub tokens_each: f64,
}

/// Estimates and draws the unreported sends of other nodes, assuming that they send like this node.
#[derive(Clone, Debug)]
pub struct UnreportedSends {
    own: HashMap<Stage, OwnSends>,
    node_count: usize,
    random: RefCell<ChaCha8Rng>,
}

impl Default for UnreportedSends {
    fn default() -> Self {
        Self::seeded(0)
    }
}

impl UnreportedSends {
    /// Creates an instance whose random draws are determined by `seed`.
    pub fn seeded(seed: u64) -> Self {
        Self {
            own: HashMap::new(),
            node_count: 1,
            random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Sets the number of nodes in the fleet, including this one.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.node_count = nodes;
    }

    /// Records a request that this node sent.
    pub fn record_sent(&mut self, now: MonotonicTime, stage: Stage, unprefilled_tokens: u32) {
        let own = self.own.entry(stage).or_default();
        own.decay(now);
        own.count += 1.0;
        own.tokens += f64::from(unprefilled_tokens);
    }

    /// Expected requests of other nodes to each of `engines` engines of `stage` within `age`.
    pub fn expected(
        &self,
        now: MonotonicTime,
        stage: Stage,
        engines: usize,
        age: Duration,
    ) -> ExpectedSends {
        let Some(own) = self.own.get(&stage) else {
            return ExpectedSends::default();
        };
        let mut own = *own;
        own.decay(now);
        if own.count <= 0.0 || engines == 0 {
            return ExpectedSends::default();
        }
        // The weights of an exponential average add up to its time constant.
        let own_per_s = own.count / RATE_TIME_CONSTANT.as_secs_f64();
        let others_per_s = own_per_s * self.node_count.saturating_sub(1) as f64;
        ExpectedSends {
            mean: others_per_s * age.as_secs_f64() / engines as f64,
            tokens_each: own.tokens / own.count,
        }
    }

    /// The quantile, uniform in `[0, 1)`, at which a draw for `engine` is made.
    ///
    /// With an affinity part it is a hash of part and engine, equal on all nodes: prompts that share the
    /// part go to the same engine, which prefills it once. Without one it is random.
    pub fn quantile(&self, engine: EngineKey, affinity_part: Option<u64>) -> f64 {
        match affinity_part {
            Some(part) => {
                // An f64 represents only this many upper bits exactly.
                let hash = rendezvous_weight(part, engine.0) >> (u64::BITS - f64::MANTISSA_DIGITS);
                hash as f64 / 2_f64.powi(f64::MANTISSA_DIGITS as i32)
            }
            None => self.random.borrow_mut().random_range(0.0..1.0),
        }
    }
}

impl ExpectedSends {
    /// Adds to the known work of an engine the unreported requests at `quantile` of their distribution.
    pub fn draw(&self, known: EngineWork, quantile: f64) -> EngineWork {
        let drawn = poisson(self.mean, quantile).events;
        EngineWork {
            requests: known.requests + drawn,
            starting: known.starting + drawn,
            unprefilled_tokens: known.unprefilled_tokens
                + (f64::from(drawn) * self.tokens_each) as u64,
        }
    }

    /// A fraction of one request, below 1 and below the mean. Breaks ties at random between engines that
    /// differ by less than one request.
    pub fn draw_fraction(&self, quantile: f64) -> f64 {
        poisson(self.mean, quantile).remainder * self.mean.min(1.0)
    }
}

/// A value of the Poisson distribution.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PoissonDraw {
    events: u32,
    /// Position of the quantile within the probability of `events`; uniform in `[0, 1)`.
    remainder: f64,
}

/// The number of events at `quantile` of the Poisson distribution with this mean.
fn poisson(mean: f64, quantile: f64) -> PoissonDraw {
    let mut probability = (-mean).exp();
    let mut cumulative = 0.0;
    for events in 0..MAX_DRAWN_REQUESTS {
        if quantile < cumulative + probability {
            let remainder = (quantile - cumulative) / probability;
            return PoissonDraw { events, remainder };
        }
        cumulative += probability;
        probability *= mean / f64::from(events + 1);
    }
    PoissonDraw {
        events: MAX_DRAWN_REQUESTS,
        remainder: 0.0,
    }
}
