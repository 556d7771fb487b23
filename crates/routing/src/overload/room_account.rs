//! What is free in a pool, as all nodes together know it.
//!
//! Answers a load that asks for more than the pool serves at nodes that share its engines without a message for each
//! request.

use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::figures::ClassFigures;

/// Requests that engines are given for each that they work on: one more waits there, so that an engine which ends one
/// begins the next before a node has heard of it.
const REQUESTS_A_SLOT: f64 = 2.0;

/// Share of the places that is taken when a pool becomes short: loads are known some tens of milliseconds late.
const SHORT_FROM: f64 = 0.9;

/// Share of the places that is taken when it no longer is. The distance keeps a pool at its limit from going to and
/// fro with each report.
const SHORT_UNTIL: f64 = 0.7;

/// Share of the calls that engines refuse from which they have fewer places than was assumed.
const REFUSED_SHARE: f64 = 0.05;

/// What the assumed places are multiplied by for each second in which engines refuse more than that.
const SHRINK_A_SECOND: f64 = 0.9;

/// The same for each second in which they refuse less: slower, since each error costs callers refused calls. Both are
/// slow against the mean of two seconds by which refusals are known.
const GROWTH_A_SECOND: f64 = 1.05;

/// Least share of the assumed places: an engine takes at least what it works on at once.
const LEAST_FILL: f64 = 1.0 / REQUESTS_A_SLOT;

/// Longest time between two looks that changes the assumed places: a node that stood still learnt nothing meanwhile.
const LONGEST_STEP: Duration = Duration::from_secs(1);

/// What a node knows of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Engines that take requests.
    pub engines: usize,
    /// Requests that they work on at once, together.
    pub slots: u32,
    /// Requests at them, of all nodes.
    pub taken: u32,
    /// Requests at them, of this node.
    pub own_taken: u32,
    /// Age of what is known of the other nodes' requests.
    pub taken_age: Duration,
    /// What this node counts of the pool.
    pub own: ClassFigures,
    /// What all nodes count of it.
    pub all: ClassFigures,
    /// Age of what others counted; `None` where no other node was heard.
    pub figures_age: Option<Duration>,
    /// Nodes, this one among them.
    pub nodes: usize,
}

/// Room of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoomAccount {
    /// Requests that its engines are given at most.
    pub places: f64,
    /// Requests that they have.
    pub taken: f64,
    /// This node's part of the demand.
    pub part: f64,
    /// Requests that this node may have there.
    pub own_places: f64,
    /// Places a second that come free for this node.
    pub own_freed_per_s: f64,
    /// Requests that wait at all nodes.
    pub waiting: f64,
    /// Share of the calls that engines refuse.
    pub refused_share: f64,
    /// Age of the oldest figure in it.
    pub age: Duration,
}

impl RoomAccount {
    /// The account by what a node knows, where engines are given `fill` of the assumed places. `None` where it knows
    /// too little: it is alone, hears no other node, or knows one engine at most, so that there is nothing to share.
    pub fn of(load: &PoolLoad, factor: CapacityFactor) -> Option<Self> {
        let heard = load.figures_age?;
        if load.nodes < 2 || load.engines < 2 || load.slots == 0 {
            return None;
        }
        let places = f64::from(load.slots) * REQUESTS_A_SLOT * factor.value;
        let taken = f64::from(load.taken);
        let part = part(load);
        let own_taken = f64::from(load.own_taken);
        let of_demand = part * places;
        let own_places = if taken < places {
            of_demand.max(own_taken + part * (places - taken))
        } else {
            // All nodes give up the same share of what they have, and come to their parts of the demand meanwhile.
            f64::midpoint(own_taken * places / taken, of_demand)
        };
        let all = &load.all;
        let calls = f64::from(all.begun_per_s + all.engine_refusals_per_s);
        let refused_share = if calls > 0.0 {
            f64::from(all.engine_refusals_per_s) / calls
        } else {
            0.0
        };
        Some(Self {
            places,
            taken,
            part,
            own_places: own_places.max(1.0),
            own_freed_per_s: part * f64::from(all.begun_per_s),
            waiting: f64::from(all.waiting),
            refused_share,
            age: heard.max(load.taken_age),
        })
    }

    /// Whether the pool is short, where it was or wasn't before, and `waiting` requests wait at this node.
    pub fn is_short(&self, was_short: bool, waiting: usize) -> bool {
        let share = self.taken / self.places.max(1.0);
        let limit = if was_short { SHORT_UNTIL } else { SHORT_FROM };
        share >= limit || (was_short && waiting > 0)
    }
}

/// This node's part of the demand; an even one where none is known.
fn part(load: &PoolLoad) -> f64 {
    let all = f64::from(load.all.asked_per_s);
    let own = f64::from(load.own.asked_per_s);
    let part = own / all;
    if part.is_finite() && part > 0.0 {
        part.min(1.0)
    } else {
        1.0 / load.nodes.max(1) as f64
    }
}

/// Share of the assumed places that engines are given. It falls while they refuse calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityFactor {
    value: f64,
    updated_at: MonotonicTime,
}

impl CapacityFactor {
    /// All assumed places, as of `now`.
    pub fn full(now: MonotonicTime) -> Self {
        Self {
            value: 1.0,
            updated_at: now,
        }
    }

    /// Follows the share of the calls that engines refused until `now`.
    pub fn update(&mut self, now: MonotonicTime, refused_share: f64) {
        let passed_s = now.since(self.updated_at).min(LONGEST_STEP).as_secs_f64();
        self.updated_at = now;
        let a_second = if refused_share > REFUSED_SHARE {
            SHRINK_A_SECOND
        } else {
            GROWTH_A_SECOND
        };
        self.value = (self.value * a_second.powf(passed_s)).clamp(LEAST_FILL, 1.0);
    }

    /// The share.
    pub fn value(&self) -> f64 {
        self.value
    }
}
