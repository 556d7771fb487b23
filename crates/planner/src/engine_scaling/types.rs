//! Engine counts, and the bounds and prices that apply to them.

use std::collections::BTreeMap;

use dalestand_types::ZoneName;
use serde::Serialize;

/// Limits on the engines of a pool, and the price of spot engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalingBounds {
    /// Minimum engines per zone.
    pub min: u32,
    /// Maximum engines per zone, on-demand and spot together.
    pub max: u32,
    /// Price of a spot engine as a fraction of the on-demand price; `None` if the platform offers no spot engines.
    pub spot_price: Option<f64>,
}

/// Scaling settings of the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalingPolicy {
    /// Spot engines ordered per baseline engine.
    pub headroom: f64,
    /// Fraction of the baseline engines that always runs on demand.
    pub on_demand_share: f64,
    /// Value of a busy engine to callers, as a multiple of the on-demand price.
    pub engine_worth: f64,
}

/// Engines of one zone that accept new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ZoneEngines {
    /// On-demand engines.
    pub on_demand: u32,
    /// Spot engines, which the platform may reclaim.
    pub spot: u32,
}

/// Target engine counts by zone.
pub type EngineTargets = BTreeMap<ZoneName, ZoneEngines>;

/// Engine price by zone, as a multiple of the usual price. Zones without an entry have the usual price.
pub type ZonePrices = BTreeMap<ZoneName, f64>;
