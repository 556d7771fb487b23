//! What bounds the number of engines.

use std::collections::BTreeMap;

use dalestand_types::ZoneName;
use serde::Serialize;

/// What a pool's engines cost and how many there may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalingBounds {
    /// Fewest engines of a zone.
    pub min: u32,
    /// Most engines of a zone, whatever their terms.
    pub max: u32,
    /// Price of a spot engine as a share of an on-demand one; `None` where there are none.
    pub spot_price: Option<f64>,
}

/// What the operator allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalingPolicy {
    /// Spot engines for each engine of the operator's number.
    pub headroom: f64,
    /// Share of the operator's number that stays on demand.
    pub on_demand_share: f64,
    /// What an engine at work is worth to callers, as a multiple of the full price.
    pub engine_worth: f64,
}

/// Engines of one zone that take new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ZoneEngines {
    /// At the full price.
    pub on_demand: u32,
    /// Engines that may be taken away.
    pub spot: u32,
}

/// Engines that each zone is to have.
pub type EngineTargets = BTreeMap<ZoneName, ZoneEngines>;

/// Price of an engine by zone, as a multiple of the usual one. A zone that is not named has the usual price.
pub type ZonePrices = BTreeMap<ZoneName, f64>;
