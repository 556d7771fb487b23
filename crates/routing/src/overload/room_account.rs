//! Estimates a pool's free capacity from the load figures that nodes exchange, and this node's share of it.
//!
//! Nodes that share engines divide the capacity among themselves by demand, without a message for each request.

use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::figures::ClassFigures;

/// Places per engine slot. The second request waits at the engine, which starts it as soon as the first one ends,
/// without a round trip to a node.
const REQUESTS_PER_SLOT: f64 = 2.0;

/// Fraction of the places in use at which a pool becomes short. It is below 1 because load reports lag.
const SHORT_ABOVE: f64 = 0.9;

/// Fraction of the places in use below which a pool is no longer short. Lower than [`SHORT_ABOVE`], so that the state
/// does not flap with each report.
const NOT_SHORT_BELOW: f64 = 0.7;

/// Fraction of calls refused by engines above which the assumed number of places is reduced.
const MAX_REFUSED_FRACTION: f64 = 0.05;

/// Multiplies the capacity factor for each second with more refusals than [`MAX_REFUSED_FRACTION`].
const DECREASE_PER_S: f64 = 0.9;

/// Multiplies the capacity factor for each second with fewer refusals. Smaller steps than the decrease, because an
/// overestimate costs refused calls. Both are slow compared with the averaging time of the refusal rate.
const INCREASE_PER_S: f64 = 1.05;

/// Lower bound of the capacity factor: one request per engine slot.
const MIN_FACTOR: f64 = 1.0 / REQUESTS_PER_SLOT;

/// Longest interval between updates that counts as elapsed time, so that a suspended process does not change the factor
/// by one large step.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Load of one pool as known to this node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Engines that accept requests.
    pub engines: usize,
    /// Sum of the slots of these engines: requests that they process concurrently.
    pub slots: u32,
    /// Requests of all nodes at these engines.
    pub taken: u32,
    /// Requests of this node at these engines.
    pub own_taken: u32,
    /// Age of the other nodes' part of `taken`.
    pub taken_age: Duration,
    /// Figures counted by this node.
    pub own: ClassFigures,
    /// Figures of all nodes, summed.
    pub all: ClassFigures,
    /// Age of the other nodes' figures in `all`; `None` if no other node has reported.
    pub figures_age: Option<Duration>,
    /// Nodes, including this one.
    pub nodes: usize,
}

/// Capacity of one pool and this node's share of it. The names appear in the log by way of `Debug`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoomAccount {
    /// Most requests that the engines are given at a time.
    pub places: f64,
    /// Requests of all nodes at the engines.
    pub taken: f64,
    /// This node's fraction of the demand.
    pub part: f64,
    /// Most requests that this node may have at the engines.
    pub own_places: f64,
    /// Places per second that become free for this node.
    pub own_freed_per_s: f64,
    /// Requests queued at all nodes.
    pub waiting: f64,
    /// Fraction of the calls that engines refuse.
    pub refused_share: f64,
    /// Age of the oldest figure used.
    pub age: Duration,
}

impl RoomAccount {
    /// Computes capacity and share from `load`; `factor` scales the number of places. `None` if there is nothing to
    /// share (one node or fewer than two engines), or if the other nodes' load is unknown.
    pub fn of(load: &PoolLoad, factor: CapacityFactor) -> Option<Self> {
        let figures_age = load.figures_age?;
        if load.nodes < 2 || load.engines < 2 || load.slots == 0 {
            return None;
        }
        let places = f64::from(load.slots) * REQUESTS_PER_SLOT * factor.value;
        let taken = f64::from(load.taken);
        let part = demand_fraction(load);
        let own_taken = f64::from(load.own_taken);
        let by_demand = part * places;
        let own_places = if taken < places {
            by_demand.max(own_taken + part * (places - taken))
        } else {
            // Over capacity, the mean of this node's requests, scaled down to the capacity, and its share by demand.
            f64::midpoint(own_taken * places / taken, by_demand)
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
            age: figures_age.max(load.taken_age),
        })
    }

    /// Whether the pool is short of capacity, given its former state and the number of requests queued at this node.
    pub fn is_short(&self, was_short: bool, waiting: usize) -> bool {
        let in_use = self.taken / self.places.max(1.0);
        let limit = if was_short {
            NOT_SHORT_BELOW
        } else {
            SHORT_ABOVE
        };
        in_use >= limit || (was_short && waiting > 0)
    }
}

/// This node's fraction of the demand; an equal split if no demand is known.
fn demand_fraction(load: &PoolLoad) -> f64 {
    let all = f64::from(load.all.asked_per_s);
    let own = f64::from(load.own.asked_per_s);
    let fraction = own / all;
    if fraction.is_finite() && fraction > 0.0 {
        fraction.min(1.0)
    } else {
        1.0 / load.nodes.max(1) as f64
    }
}

/// Fraction of the assumed places that engines are given. It decreases while engines refuse calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityFactor {
    value: f64,
    updated_at: MonotonicTime,
}

impl CapacityFactor {
    /// A factor of 1, as of `now`.
    pub fn full(now: MonotonicTime) -> Self {
        Self {
            value: 1.0,
            updated_at: now,
        }
    }

    /// Adjusts the factor to the fraction of calls that engines refuse.
    pub fn update(&mut self, now: MonotonicTime, refused_share: f64) {
        let passed_s = now.since(self.updated_at).min(MAX_STEP).as_secs_f64();
        self.updated_at = now;
        let change_per_s = if refused_share > MAX_REFUSED_FRACTION {
            DECREASE_PER_S
        } else {
            INCREASE_PER_S
        };
        self.value = (self.value * change_per_s.powf(passed_s)).clamp(MIN_FACTOR, 1.0);
    }

    /// The factor, from 0.5 to 1.
    pub fn value(&self) -> f64 {
        self.value
    }
}
