//! What other nodes have sent to engines since they last reported.
//!
//! Nodes that choose by the same reports choose the same engines, all of them, until the next
//! report. So each node draws for each engine how many requests others may have sent there since:
//! the draws of two nodes differ, and the choices spread as far as the reports are uncertain. A node
//! that is alone, or whose reports are fresh, draws nothing.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::MonotonicTime;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::{EngineKey, EngineWork, Stage};
use crate::prefix::rendezvous_weight;

/// Time over which this node's own rate of sends is taken: some tens of sends at the size the fleet
/// is built for, and shorter than the waves of demand that were seen (11 s).
const WINDOW: Duration = Duration::from_secs(3);

/// Most requests drawn for one engine. More cannot matter: it is avoided by then.
const MOST_DRAWN: u32 = 30;

/// Sends of this node to the engines of one stage within a window that ends at `at`.
#[derive(Clone, Copy, Debug, Default)]
struct OwnSends {
    at: MonotonicTime,
    /// Sends, each counted less the longer ago it was.
    count: f64,
    /// Their unread tokens, counted alike.
    tokens: f64,
}

impl OwnSends {
    fn fade(&mut self, now: MonotonicTime) {
        let kept = (-now.since(self.at).as_secs_f64() / WINDOW.as_secs_f64()).exp();
        self.count *= kept;
        self.tokens *= kept;
        self.at = now;
    }
}

/// Requests that others may have sent to one engine of a stage since they reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedSends {
    /// Expected number.
    pub mean: f64,
    /// Prompt tokens that each of them leaves to be read.
    pub tokens_each: f64,
}

/// Draws what others may have sent.
#[derive(Clone, Debug)]
pub struct UnreportedSends {
    own: HashMap<Stage, OwnSends>,
    nodes: usize,
    draws: RefCell<ChaCha8Rng>,
}

impl Default for UnreportedSends {
    fn default() -> Self {
        Self::seeded(0)
    }
}

impl UnreportedSends {
    /// Draws that differ from those of another seed.
    pub fn seeded(seed: u64) -> Self {
        Self {
            own: HashMap::new(),
            nodes: 1,
            draws: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Notes how many nodes there are, this one among them.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// Notes a request of this node. Others are taken to send as many and as long ones.
    pub fn record_sent(&mut self, now: MonotonicTime, stage: Stage, unread_tokens: u32) {
        let own = self.own.entry(stage).or_default();
        own.fade(now);
        own.count += 1.0;
        own.tokens += f64::from(unread_tokens);
    }

    /// What others may have sent to each of `engines` engines of `stage` in the time `age`.
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
        own.fade(now);
        if own.count <= 0.0 || engines == 0 {
            return ExpectedSends::default();
        }
        // The weights of a window that fades add up to its length.
        let own_per_s = own.count / WINDOW.as_secs_f64();
        let others_per_s = own_per_s * self.nodes.saturating_sub(1) as f64;
        ExpectedSends {
            mean: others_per_s * age.as_secs_f64() / engines as f64,
            tokens_each: own.tokens / own.count,
        }
    }

    /// The chance that a draw for `engine` is made with. Requests whose prompts begin with the same
    /// long part have the same chances at all nodes: they stay together, where one prefill serves all
    /// of them, and prompts that begin otherwise spread. All other requests have chances of their own.
    pub fn quantile(&self, engine: EngineKey, affinity: Option<u64>) -> f64 {
        match affinity {
            Some(part) => {
                // The upper bits of a hash, as many as a fraction holds.
                let hash = rendezvous_weight(part, engine.0) >> (u64::BITS - f64::MANTISSA_DIGITS);
                hash as f64 / 2_f64.powi(f64::MANTISSA_DIGITS as i32)
            }
            None => self.draws.borrow_mut().random_range(0.0..1.0),
        }
    }
}

impl ExpectedSends {
    /// The work known at an engine with what others may have sent there besides.
    pub fn draw(&self, known: EngineWork, chance: f64) -> EngineWork {
        let drawn = poisson(self.mean, chance).events;
        EngineWork {
            requests: known.requests + drawn,
            starting: known.starting + drawn,
            unread_tokens: known.unread_tokens + (f64::from(drawn) * self.tokens_each) as u64,
        }
    }

    /// A part of one request, below 1 and below what is expected: engines that are alike but for less
    /// than a request are chosen by chance, not by their order.
    pub fn draw_fraction(&self, chance: f64) -> f64 {
        poisson(self.mean, chance).remainder * self.mean.min(1.0)
    }
}

/// Where a chance falls among numbers of events.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Drawn {
    events: u32,
    /// How far the chance lies within that number's share: again evenly spread from 0 to 1.
    remainder: f64,
}

/// The number of independent events that has `chance` of them or fewer, where `mean` are expected.
fn poisson(mean: f64, chance: f64) -> Drawn {
    let mut share = (-mean).exp();
    let mut below = 0.0;
    for events in 0..MOST_DRAWN {
        if chance < below + share {
            let remainder = (chance - below) / share;
            return Drawn { events, remainder };
        }
        below += share;
        share *= mean / f64::from(events + 1);
    }
    Drawn {
        events: MOST_DRAWN,
        remainder: 0.0,
    }
}
