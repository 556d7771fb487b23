//! The capacity report: capacity and demand of all pools as one node knows them, for operators.

use dalestand_routing::{ClassFigures, TenantCode, TenantFigures, WorkKind};
use dalestand_types::{NodeId, PoolName, Revision, ZoneName};
use serde::{Deserialize, Serialize};

/// Capacity and demand of all pools, as one node knows them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// Name of the reporting node.
    pub node: NodeId,
    /// Zone of the reporting node.
    pub zone: ZoneName,
    /// Revision of the current declaration, if there is one.
    pub declaration: Option<Revision>,
    /// Number of known nodes, including this one.
    pub nodes_known: usize,
    /// Other nodes whose reports are included in the figures.
    pub sources: ReportSources,
    /// Age of the newest figures from other nodes.
    pub ages: FigureAges,
    /// Pools of the declaration, sorted by name.
    pub pools: Vec<PoolCapacity>,
}

/// Nodes whose reports are included now. A member receives fleet-wide sums from its relay; a relay receives
/// the counts of its members and the sums of the other relays. Without sources, a node has only its own
/// counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportSources {
    /// Number of members that reported to this node.
    pub members: usize,
    /// Number of other relays that reported the sums of their members.
    pub relays: usize,
    /// Whether a relay reported the sums of the whole fleet.
    pub fleet: bool,
}

/// Ages in milliseconds; absent without a report that is still included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FigureAges {
    /// Age of the demand by pool and priority.
    pub demand_ms: Option<u64>,
    /// Age of the demand by tenant.
    pub tenants_ms: Option<u64>,
    /// Age of the engine speeds.
    pub speeds_ms: Option<u64>,
}

/// Capacity and demand of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolCapacity {
    /// Name of the pool.
    pub pool: PoolName,
    /// Engines that accept new work, by zone and kind of work.
    pub engines: Vec<EngineGroup>,
    /// Slots occupied by requests of all nodes.
    pub busy_slots: f32,
    /// Demand by priority, most urgent first.
    pub classes: Vec<ClassDemand>,
    /// Tenants with the most demand, highest first.
    pub tenants: Vec<TenantDemand>,
    /// Number of known tenants that are not listed.
    pub tenants_unlisted: usize,
    /// Engines whose speed differs most from the usual.
    pub speeds: Vec<EngineSpeed>,
    /// Number of engines whose speed differs from the usual and that are not listed.
    pub speeds_unlisted: usize,
    /// The last scaling decision, at the node that orders engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scaling: Option<EngineScaling>,
}

impl PoolCapacity {
    /// Number of engines that accept new work.
    pub fn engine_count(&self) -> usize {
        self.engines.iter().map(|group| group.engines).sum()
    }

    /// Number of requests that these engines can run at once.
    pub fn slots(&self) -> u64 {
        self.engines.iter().map(|group| group.slots).sum()
    }
}

/// The last scaling decision for a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineScaling {
    /// On-demand engines wanted in all zones.
    pub on_demand: u32,
    /// Spot engines wanted in all zones.
    pub spot: u32,
    /// The inputs of the decision, in the form logged with each order.
    pub weighed: String,
}

/// Engines of one zone that do the same kind of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineGroup {
    /// Zone of the engines.
    pub zone: ZoneName,
    /// Kind of work that their role allows.
    pub work: WorkKind,
    /// Number of engines.
    pub engines: usize,
    /// Number of requests that they can run at once.
    pub slots: u64,
}

/// Requests of one priority, summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassDemand {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Requests of this priority.
    #[serde(flatten)]
    pub figures: ClassFigures,
}

/// Demand of one tenant, summed over all nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantDemand {
    /// Name of the tenant, if the current declaration has one with this code.
    pub name: Option<String>,
    /// Code of the tenant.
    pub code: TenantCode,
    /// Demand in both units of pool capacity.
    #[serde(flatten)]
    pub figures: TenantFigures,
}

/// An engine that is slower or faster than usual.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpeed {
    /// ID of the engine's run.
    pub engine: String,
    /// Zone of the engine.
    pub zone: ZoneName,
    /// Kind of work that was timed.
    pub work: WorkKind,
    /// Time that the engine takes, relative to the usual time: 2 means half the usual speed.
    pub slowness: f64,
    /// Number of observations, weighted down with age.
    pub observations: f32,
}
